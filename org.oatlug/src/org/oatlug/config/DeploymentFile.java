// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oatlug.api.ObjectKey;
import org.oatlug.errors.ConfigurationInvalidException;
import org.oatlug.internal.util.Json;

/**
 * A file of configuration objects: {@code {"objects": [{"kind", "name", "spec"}, ...]}}.
 *
 * <p>Immutable.
 */
public final class DeploymentFile {
  private final Map<ObjectKey, JsonNode> objects;

  private DeploymentFile(Map<ObjectKey, JsonNode> objects) {
    this.objects = objects;
  }

  /**
   * Reads a file.
   *
   * @throws ConfigurationInvalidException if it cannot be read or its structure is invalid
   */
  public static DeploymentFile read(Path file) throws ConfigurationInvalidException {
    Map<ObjectKey, JsonNode> objects = new LinkedHashMap<>();
    for (JsonNode node : parse(file).path("objects")) {
      ObjectKey key = ObjectKey.valueOf(node.path("kind").asText(), node.path("name").asText());
      if (!node.path("spec").isObject() || key.name().isEmpty()) {
        throw new ConfigurationInvalidException(file + " " + key, "has no name or spec");
      }
      if (objects.put(key, node.get("spec")) != null) {
        throw new ConfigurationInvalidException(key.toString(), "occurs twice in the file");
      }
    }
    if (objects.isEmpty()) {
      throw new ConfigurationInvalidException(file.toString(), "has no objects");
    }
    return new DeploymentFile(objects);
  }

  /** Returns the objects in file order. */
  public Map<ObjectKey, JsonNode> objects() {
    return objects;
  }

  /** Returns the invalid contents, policies and references, one line for each problem. */
  public List<String> problems() {
    List<String> problems = new ArrayList<>();
    Map<ObjectKey, Object> contents = new LinkedHashMap<>();
    for (Map.Entry<ObjectKey, JsonNode> entry : objects.entrySet()) {
      try {
        Optional<Object> content = Kinds.read(entry.getKey(), entry.getValue());
        content.ifPresent(present -> contents.put(entry.getKey(), present));
      } catch (ConfigurationInvalidException e) {
        problems.add(e.getMessage());
      }
    }
    Set<ObjectKey> known = new HashSet<>(objects.keySet());
    contents.forEach(
        (key, content) -> {
          for (ObjectKey reference : referencesOf(content)) {
            if (!known.contains(reference)) {
              problems.add(key + ": refers to " + reference + ", which is not in the file");
            }
          }
        });
    return problems;
  }

  private static List<ObjectKey> referencesOf(Object content) {
    if (content instanceof Version version) {
      return List.of(ObjectKey.valueOf(Kinds.MODEL, version.model()));
    }
    if (content instanceof Cascade cascade) {
      return keys(Kinds.MODEL, cascade.stages());
    }
    if (content instanceof Workspace workspace) {
      return List.of(ObjectKey.valueOf(Kinds.POLICY, workspace.policy()));
    }
    if (content instanceof Rollout rollout) {
      return List.of(
          ObjectKey.valueOf(Kinds.MODEL, rollout.model()),
          ObjectKey.valueOf(Kinds.VERSION, rollout.candidate()));
    }
    if (content instanceof Upstream upstream) {
      boolean engine = upstream.kind() == Upstream.Kind.ENGINE;
      return keys(engine ? Kinds.VERSION : Kinds.SERVICE, upstream.serves());
    }
    return List.of();
  }

  private static List<ObjectKey> keys(String kind, List<String> names) {
    return names.stream().map(name -> ObjectKey.valueOf(kind, name)).toList();
  }

  private static JsonNode parse(Path file) throws ConfigurationInvalidException {
    try {
      return Json.STRICT.readTree(Files.readString(file));
    } catch (JsonProcessingException e) {
      throw new ConfigurationInvalidException(file.toString(), e.getMessage());
    } catch (IOException e) {
      throw new ConfigurationInvalidException(file.toString(), "cannot be read");
    }
  }
}
