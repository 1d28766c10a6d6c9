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
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.oatlug.config.SettingsFile;
import org.oatlug.errors.SettingsInvalidException;
import org.oatlug.gateway.GatewaySettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Shows that the settings which the platform makes of the template are taken, or refused by the
 * name of the field.
 *
 * <p>Symptom: no instance of a deployment started. Sequence: the session pause of its sheet was 8.5
 * seconds; the template appended three zeros to make milliseconds of it, and {@code 8.5000} is no
 * whole number. Each number of the template is tried as whole, with a fraction, zero, with an
 * exponent, missing, and as a word.
 */
public class SettingsTemplateTest {
  private static final Path TEMPLATE = Path.of("deploy", "settings.json.template");
  private static final Pattern LIST = Pattern.compile("\\{\\{#(\\w+)}}.*?\\{\\{/\\1}}");
  private static final Pattern GAP = Pattern.compile("\\{\\{([\\w.-]+)}}");
  private static final String PORT = "port-range.1";

  /** The numbers of the template by the name of the field in the settings. */
  private static final Map<String, String> NUMBERS =
      Map.of(
          "graceSeconds", "bounds.grace-s",
          "retryShare", "bounds.budget-ratio",
          "retryReserve", "bounds.budget-slack",
          "exposureShare", "bounds.expose-share",
          "sessionSeconds", "bounds.session-s",
          "coldShare", "bounds.cold-overage",
          "coldReserve", "bounds.cold-slack",
          "metrics", PORT);

  private static Map<String, String> values() {
    Map<String, String> values = new HashMap<>();
    values.put("node", "front-1");
    values.put("zone", "hall-a");
    values.put("listen.front", "10.1.0.40:8227");
    values.put("listen.ready", "10.1.0.40:8220");
    values.put("listen.control", "10.1.0.40:8229");
    values.put("platform.address", "10.200.1.7:8223");
    NUMBERS.values().forEach(name -> values.put(name, "1"));
    return values;
  }

  private static GatewaySettings read(Map<String, String> values)
      throws IOException, SettingsInvalidException {
    Path here = Path.of("").toAbsolutePath();
    Path root = here.endsWith("org.oatlug.test") ? here.getParent() : here;
    String template = Files.readString(root.resolve(TEMPLATE));
    String listed = LIST.matcher(template).replaceAll("\"10.2.0.29:8229\"");
    String text = GAP.matcher(listed).replaceAll(gap -> valueOf(values, gap.group(1)));
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

  private static String valueOf(Map<String, String> values, String gap) {
    assertTrue(values.containsKey(gap), "the template has a gap that is not tried: " + gap);
    return Matcher.quoteReplacement(values.get(gap));
  }

  private static GatewaySettings with(String name, String value)
      throws IOException, SettingsInvalidException {
    Map<String, String> values = values();
    values.put(name, value);
    return read(values);
  }

  @DataProvider
  Object[][] bounds() {
    return NUMBERS.entrySet().stream()
        .filter(entry -> !entry.getValue().equals(PORT))
        .map(entry -> new Object[] {entry.getKey(), entry.getValue()})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "bounds")
  public void testNumberOfAnyFormIsTakenOrRefusedByName(String field, String gap)
      throws IOException, SettingsInvalidException {
    with(gap, "0");
    with(gap, "1e0");
    with(gap, "");
    for (String large : new String[] {"8", "8.5", "1e3"}) {
      if (field.equals("exposureShare")) {
        assertRefused(field, gap, large);
      } else {
        with(gap, large);
      }
    }
    assertRefused(field, gap, "soon");
    assertRefused(field, gap, "NaN");
    assertRefused(field, gap, "-1");
  }

  private static void assertRefused(String field, String gap, String value) {
    SettingsInvalidException refusal =
        expectThrows(SettingsInvalidException.class, () -> with(gap, value));
    assertTrue(refusal.problems().toString().contains(field), "problems " + refusal.problems());
  }

  @Test
  public void testSecondsAreTakenWithTheirFraction() throws IOException, SettingsInvalidException {
    assertEquals(with("bounds.session-s", "8.5").bounds().session(), Duration.ofMillis(8500));
    assertEquals(with("bounds.grace-s", "1e3").bounds().grace(), Duration.ofSeconds(1000));
    assertEquals(with("bounds.grace-s", "0").bounds().grace(), Duration.ZERO);
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
  public void testUnknownFieldsPass() throws IOException, SettingsInvalidException {
    GatewaySettings settings = SettingsFile.checkGateway(fileWith("\"newBound\": {\"a\": [1]}"));
    assertEquals(settings.bounds().grace(), Duration.ofSeconds(5));
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
  public void testPortIsRefusedByName() throws IOException, SettingsInvalidException {
    for (String port : new String[] {"8.5", "0", "", "some", "70000"}) {
      assertRefused("metrics", PORT, port);
    }
    assertEquals(with(PORT, "8").metrics(), 8);
  }
}
