// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.oatlug.errors.SettingsInvalidException;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.internal.util.Json;

/**
 * Reads settings files and validates them against their schemas.
 *
 * <p>Invariant: a file with any invalid field is rejected as a whole. Stateless, thread-safe.
 */
public final class SettingsFile {
  private static final String SCHEMA = "settings.schema.json";
  private static final String GATEWAY_SCHEMA = "gateway-settings.schema.json";

  private SettingsFile() {}

  /**
   * Reads and validates the settings of an entry instance.
   *
   * @throws SettingsInvalidException if it cannot be read or violates the schema, with the path of
   *     each invalid field
   */
  public static Settings read(Path file) throws SettingsInvalidException {
    return readValid(file, SCHEMA, Settings.class);
  }

  /**
   * Reads the settings of an instance that serves routed services.
   *
   * <p>Missing and invalid fields are rejected as they are read. Only {@link #checkGateway} uses
   * the schema, because loading it takes longer than the rest of a start.
   *
   * @throws SettingsInvalidException if it cannot be read or a field is invalid
   */
  public static GatewaySettings readGateway(Path file) throws SettingsInvalidException {
    return toGatewaySettings(readTree(file));
  }

  /**
   * Reads the settings of an instance that serves routed services and validates them.
   *
   * @throws SettingsInvalidException if it cannot be read or violates the schema, with the path of
   *     each invalid field
   */
  public static GatewaySettings checkGateway(Path file) throws SettingsInvalidException {
    return toGatewaySettings(readValidTree(file, GATEWAY_SCHEMA));
  }

  private static GatewaySettings toGatewaySettings(JsonNode tree) throws SettingsInvalidException {
    try {
      return GatewaySettingsReader.read(tree);
    } catch (IllegalArgumentException e) {
      throw new SettingsInvalidException(List.of(e.getMessage()));
    }
  }

  private static <T> T readValid(Path file, String schema, Class<T> type)
      throws SettingsInvalidException {
    return convert(readValidTree(file, schema), type);
  }

  private static JsonNode readValidTree(Path file, String schema) throws SettingsInvalidException {
    JsonNode tree = readTree(file);
    List<String> problems =
        loadSchema(schema).validate(tree).stream()
            .map(ValidationMessage::getMessage)
            .sorted()
            .toList();
    if (!problems.isEmpty()) {
      throw new SettingsInvalidException(problems);
    }
    return tree;
  }

  private static <T> T convert(JsonNode tree, Class<T> type) throws SettingsInvalidException {
    try {
      return Json.STRICT.treeToValue(tree, type);
    } catch (JsonMappingException e) {
      String path = Json.pathOf(e);
      String prefix = path.isEmpty() ? "" : path + ": ";
      throw new SettingsInvalidException(List.of(prefix + e.getOriginalMessage()));
    } catch (JsonProcessingException e) {
      throw new SettingsInvalidException(List.of(e.getOriginalMessage()));
    }
  }

  private static JsonNode readTree(Path file) throws SettingsInvalidException {
    try {
      return Json.STRICT.readTree(Files.readString(file));
    } catch (JsonProcessingException e) {
      throw new SettingsInvalidException(List.of(file + ": " + e.getOriginalMessage()));
    } catch (IOException e) {
      throw new SettingsInvalidException(List.of(file + ": cannot be read"));
    }
  }

  private static JsonSchema loadSchema(String name) {
    InputStream stream = SettingsFile.class.getResourceAsStream(name);
    return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(stream);
  }
}
