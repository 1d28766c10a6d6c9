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
 * Reads and checks a settings file against its schema.
 *
 * <p>Invariant: settings are taken whole or not at all. Stateless, thread-safe.
 */
public final class SettingsFile {
  private static final String SCHEMA = "settings.schema.json";
  private static final String GATEWAY_SCHEMA = "gateway-settings.schema.json";

  private SettingsFile() {}

  /**
   * Reads a file.
   *
   * @throws SettingsInvalidException if it cannot be read or breaks the schema, with the path of
   *     each field at fault
   */
  public static Settings read(Path file) throws SettingsInvalidException {
    return checked(file, SCHEMA, Settings.class);
  }

  /**
   * Reads the file of an instance that serves routed services.
   *
   * <p>Missing and wrong fields are refused as they are read; the schema, whose reading takes
   * longer than the rest of a start together, is left to {@link #checkGateway}.
   *
   * @throws SettingsInvalidException if it cannot be read or a field is at fault
   */
  public static GatewaySettings readGateway(Path file) throws SettingsInvalidException {
    return gateway(readTree(file));
  }

  /**
   * Reads the file of an instance that serves routed services and checks it against its schema.
   *
   * @throws SettingsInvalidException if it cannot be read or breaks the schema, with the path of
   *     each field at fault
   */
  public static GatewaySettings checkGateway(Path file) throws SettingsInvalidException {
    return gateway(checkedTree(file, GATEWAY_SCHEMA));
  }

  private static GatewaySettings gateway(JsonNode tree) throws SettingsInvalidException {
    try {
      return GatewaySettingsReader.read(tree);
    } catch (IllegalArgumentException e) {
      throw new SettingsInvalidException(List.of(e.getMessage()));
    }
  }

  private static <T> T checked(Path file, String schema, Class<T> type)
      throws SettingsInvalidException {
    return typed(checkedTree(file, schema), type);
  }

  private static JsonNode checkedTree(Path file, String schema) throws SettingsInvalidException {
    JsonNode tree = readTree(file);
    List<String> problems =
        schema(schema).validate(tree).stream().map(ValidationMessage::getMessage).sorted().toList();
    if (!problems.isEmpty()) {
      throw new SettingsInvalidException(problems);
    }
    return tree;
  }

  private static <T> T typed(JsonNode tree, Class<T> type) throws SettingsInvalidException {
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

  private static JsonSchema schema(String name) {
    InputStream stream = SettingsFile.class.getResourceAsStream(name);
    return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(stream);
  }
}
