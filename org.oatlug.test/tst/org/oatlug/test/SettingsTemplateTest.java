// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.oatlug.config.SettingsFile;
import org.oatlug.errors.SettingsInvalidException;
import org.oatlug.gateway.GatewaySettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that settings rendered from the template are accepted, or refused with the name of the
 * field.
 *
 * <p>Guards against a template that converts seconds to milliseconds by appending three zeros: a
 * session pause of 8.5 seconds became {@code 8.5000}, which is no integer, and no instance started.
 * Each number of the template is tested as an integer, with a fraction, as zero, with an exponent,
 * missing, and as a word.
 */
public class SettingsTemplateTest {
  private static final Path TEMPLATE = Path.of("deploy", "settings.json.template");
  private static final Pattern LIST_SECTION = Pattern.compile("\\{\\{#(\\w+)}}.*?\\{\\{/\\1}}");
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([\\w.-]+)}}");
  private static final String PORT = "port-range.1";
  private static final String FORWARDING_PORT = "port-range.0";

  /** Placeholders of the numbers in the template, by the name of the settings field. */
  private static final Map<String, String> NUMERIC_FIELDS =
      Map.of(
          "graceSeconds", "bounds.grace-s",
          "retryShare", "bounds.budget-ratio",
          "retryReserve", "bounds.budget-slack",
          "exposureShare", "bounds.expose-share",
          "sessionSeconds", "bounds.session-s",
          "coldShare", "bounds.cold-overage",
          "coldReserve", "bounds.cold-slack",
          "configurationMillis", "bounds.config-ms",
          "drainMillis", "bounds.drain-ms",
          "metrics", PORT);

  private static Map<String, String> values() {
    Map<String, String> values = new HashMap<>();
    values.put("node", "front-1");
    values.put("zone", "hall-a");
    values.put("listen.front", "10.1.0.40:8227");
    values.put("listen.ready", "10.1.0.40:8220");
    values.put("listen.control", "10.1.0.40:8229");
    values.put(FORWARDING_PORT, "7340");
    values.put("platform.address", "10.200.1.7:8223");
    NUMERIC_FIELDS.values().forEach(name -> values.put(name, "1"));
    return values;
  }

  private static GatewaySettings read(Map<String, String> values)
      throws IOException, SettingsInvalidException {
    Path workingDirectory = Path.of("").toAbsolutePath();
    Path root =
        workingDirectory.endsWith("org.oatlug.test")
            ? workingDirectory.getParent()
            : workingDirectory;
    String template = Files.readString(root.resolve(TEMPLATE));
    String expanded = LIST_SECTION.matcher(template).replaceAll("\"10.2.0.29:8229\"");
    String text =
        PLACEHOLDER
            .matcher(expanded)
            .replaceAll(placeholder -> valueOf(values, placeholder.group(1)));
    Path file = Files.createTempFile("settings", ".json");
    try {
      Files.writeString(file, text);
      GatewaySettings checked = SettingsFile.checkGateway(file);
      assertEquals(SettingsFile.readGateway(file), checked);
      return checked;
    } finally {
      Files.delete(file);
    }
  }

  private static String valueOf(Map<String, String> values, String placeholder) {
    assertTrue(
        values.containsKey(placeholder),
        "the template has a placeholder without a test value: " + placeholder);
    return Matcher.quoteReplacement(values.get(placeholder));
  }

  private static GatewaySettings readWith(String name, String value)
      throws IOException, SettingsInvalidException {
    Map<String, String> values = values();
    values.put(name, value);
    return read(values);
  }

  @DataProvider
  Object[][] bounds() {
    return NUMERIC_FIELDS.entrySet().stream()
        .filter(entry -> !entry.getValue().equals(PORT))
        .map(entry -> new Object[] {entry.getKey(), entry.getValue()})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "bounds")
  public void testNumberIsAcceptedOrRefusedByFieldName(String field, String placeholder)
      throws IOException, SettingsInvalidException {
    readWith(placeholder, "0");
    readWith(placeholder, "1e0");
    readWith(placeholder, "");
    for (String large : new String[] {"8", "8.5", "1e3"}) {
      if (field.equals("exposureShare")) {
        assertRefused(field, placeholder, large);
      } else {
        readWith(placeholder, large);
      }
    }
    assertRefused(field, placeholder, "soon");
    assertRefused(field, placeholder, "NaN");
    assertRefused(field, placeholder, "-1");
  }

  private static void assertRefused(String field, String placeholder, String value) {
    SettingsInvalidException refusal =
        expectThrows(SettingsInvalidException.class, () -> readWith(placeholder, value));
    assertTrue(refusal.problems().toString().contains(field), "problems " + refusal.problems());
  }

  @Test
  public void testFractionalSecondsAreAccepted() throws IOException, SettingsInvalidException {
    assertEquals(readWith("bounds.session-s", "8.5").bounds().session(), Duration.ofMillis(8500));
    assertEquals(readWith("bounds.grace-s", "1e3").bounds().grace(), Duration.ofSeconds(1000));
    assertEquals(readWith("bounds.grace-s", "0").bounds().grace(), Duration.ZERO);
  }

  @Test
  public void testRefusalNamesFieldValueAndUnit() {
    SettingsInvalidException refusal =
        expectThrows(
            SettingsInvalidException.class,
            () -> SettingsFile.readGateway(fileWith("\"graceSeconds\": -2.5")));
    String problem = refusal.problems().toString();
    assertTrue(problem.contains("bounds.graceSeconds is -2.5, not 0 to 3600 seconds"), problem);
  }

  @Test
  public void testUnknownFieldsAreIgnored() throws IOException, SettingsInvalidException {
    GatewaySettings settings = SettingsFile.checkGateway(fileWith("\"newBound\": {\"a\": [1]}"));
    assertEquals(settings.bounds().grace(), Duration.ofSeconds(5));
  }

  @Test
  public void testLoadManagementIsOffUnlessSetAndItsValuesAreChecked() throws Exception {
    assertEquals(
        SettingsFile.checkGateway(fileWith("")).loadManagement(),
        GatewaySettings.LoadManagement.OFF);
    assertEquals(read(values()).loadManagement().queue(), GatewaySettings.Switch.AUTO);
    GatewaySettings.LoadManagement ofTemplate = read(values()).loadManagement();
    assertEquals(ofTemplate.connections(), GatewaySettings.Switch.OFF);
    assertEquals(ofTemplate.readers(), GatewaySettings.Switch.AUTO);
    assertEquals(ofTemplate.retries(), GatewaySettings.Switch.AUTO);
    assertEquals(ofTemplate.accepting(), GatewaySettings.Switch.AUTO);
    for (String part : List.of("queue", "connections", "readers", "retries", "accepting")) {
      String loadManagement = "\"loadManagement\": {\"%s\": \"sometimes\"".formatted(part);
      Path invalid = fileWith("\"graceSeconds\": 1}, " + loadManagement);
      SettingsInvalidException refusal =
          expectThrows(SettingsInvalidException.class, () -> SettingsFile.readGateway(invalid));
      assertTrue(refusal.problems().toString().contains("loadManagement." + part), "" + refusal);
    }
  }

  private static Path fileWith(String bound) throws IOException {
    Path file = Files.createTempFile("settings", ".json");
    file.toFile().deleteOnExit();
    return Files.writeString(
        file,
        """
        {"name": "a", "zone": "z", "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
         "metrics": 3, "platform": "127.0.0.1:4", "other": 1,
         "peers": {"listen": "127.0.0.1:5", "key": "0123456789abcdef", "seeds": []},
         "bounds": {%s}}
        """
            .formatted(bound));
  }

  @Test
  public void testInvalidPortIsRefusedByFieldName() throws IOException, SettingsInvalidException {
    for (String port : new String[] {"8.5", "0", "", "some", "70000"}) {
      assertRefused("metrics", PORT, port);
    }
    assertEquals(readWith(PORT, "8").metrics(), 8);
  }

  @Test
  public void testForwardingPortIsOptionalAndChecked() throws Exception {
    for (String port : new String[] {"8.5", "some", "70000", "-1"}) {
      assertRefused("forwarding", FORWARDING_PORT, port);
    }
    assertEquals(readWith(FORWARDING_PORT, "8").peers().forwarding(), 8);
    assertEquals(readWith(FORWARDING_PORT, "").peers().forwarding(), 0);
  }
}
