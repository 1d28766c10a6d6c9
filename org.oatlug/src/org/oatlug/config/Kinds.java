// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oatlug.api.ObjectKey;
import org.oatlug.errors.ConfigurationInvalidException;
import org.oatlug.internal.util.Json;

/**
 * Lists the configuration kinds and parses their content.
 *
 * <p>Invariant: content is either fully parsed or rejected with the path of the invalid field.
 * Stateless, thread-safe.
 */
public final class Kinds {
  public static final String WORKSPACE = "workspace";
  public static final String MODEL = "model";
  public static final String VERSION = "version";
  public static final String CASCADE = "cascade";
  public static final String POLICY = "policy";
  public static final String ROLLOUT = "rollout";
  public static final String UPSTREAM = "upstream";
  public static final String SERVICE = "service";

  /** All kinds, in the order in which a deployment publishes them. */
  public static final List<String> ALL =
      List.of(MODEL, VERSION, CASCADE, POLICY, WORKSPACE, SERVICE, UPSTREAM, ROLLOUT);

  static final String PUBLISH_ID = "publishId";

  private static final String DELETED = "deleted";
  private static final String UNUSABLE = "unusable";
  private static final String MISSING_NUMBER = "Cannot map `null`";
  private static final Map<String, Class<?>> TYPES =
      Map.of(
          WORKSPACE, Workspace.class,
          MODEL, Model.class,
          VERSION, Version.class,
          CASCADE, Cascade.class,
          POLICY, Policy.class,
          ROLLOUT, Rollout.class,
          UPSTREAM, Upstream.class,
          SERVICE, Service.class);

  private Kinds() {}

  /**
   * Parses the content of an object.
   *
   * @return the typed content, empty for a tombstone
   * @throws ConfigurationInvalidException if the kind or a field is unknown, missing or invalid
   */
  public static Optional<Object> read(ObjectKey key, JsonNode value)
      throws ConfigurationInvalidException {
    Class<?> type = TYPES.get(key.kind());
    if (type == null) {
      throw new ConfigurationInvalidException(key.toString(), "unknown kind");
    }
    if (isTombstone(value)) {
      return Optional.empty();
    }
    try {
      Object content = Json.STRICT.treeToValue(withoutPublishId(value), type);
      ContentRules.check(key, content);
      return Optional.of(content);
    } catch (JsonMappingException e) {
      throw new ConfigurationInvalidException(key + fieldPath(e), problemOf(e));
    } catch (JsonProcessingException e) {
      throw new ConfigurationInvalidException(key.toString(), e.getOriginalMessage());
    }
  }

  /** Returns the content without the id of the publish operation that wrote it. */
  public static JsonNode withoutPublishId(JsonNode value) {
    if (value instanceof ObjectNode object && object.has(PUBLISH_ID)) {
      return object.deepCopy().without(PUBLISH_ID);
    }
    return value;
  }

  /** Returns the content that marks a deleted object. */
  public static ObjectNode tombstone() {
    return Json.STRICT.createObjectNode().put(DELETED, true);
  }

  /**
   * Returns a tombstone for an object whose stored content, written by another program, is invalid.
   * Readers treat the object as deleted.
   *
   * @param problem the reason why the content is invalid
   */
  public static ObjectNode unusable(String problem) {
    return tombstone().put(UNUSABLE, problem);
  }

  /** Returns the problem of an object with invalid content, empty for any other object. */
  public static Optional<String> problemOfUnusable(JsonNode value) {
    return Optional.ofNullable(value.get(UNUSABLE)).map(JsonNode::asText);
  }

  /** Returns whether {@code value} marks a deleted object. */
  public static boolean isTombstone(JsonNode value) {
    return value.path(DELETED).asBoolean(false);
  }

  private static String problemOf(JsonMappingException failure) {
    if (failure instanceof UnrecognizedPropertyException unknown) {
      return "is unknown, known are " + unknown.getKnownPropertyIds();
    }
    boolean missing = failure.getOriginalMessage().startsWith(MISSING_NUMBER);
    return missing ? "is missing" : failure.getOriginalMessage();
  }

  private static String fieldPath(JsonMappingException failure) {
    String path = Json.pathOf(failure);
    return path.isEmpty() ? "" : "." + path;
  }
}
