// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Publisher;
import org.oatlug.config.SettingsFile;
import org.oatlug.errors.ConfigurationInvalidException;
import org.oatlug.errors.ConflictException;
import org.oatlug.errors.SettingsInvalidException;
import org.oatlug.internal.util.Json;
import org.oatlug.pgm.ExitCode;
import org.oatlug.pgm.Oatlug;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the results and errors that operators get for publishes, invalid objects and settings. */
public class PublisherTest {
  private static final ObjectKey KEY = ObjectKey.valueOf("version", "small-v1");

  private static final String VALID_VERSION =
      "{\"model\":\"m\",\"state\":\"current\",\"costPerThousandTokens\":1}";
  private static final String VALID_UPSTREAM =
      "{\"kind\":\"engine\",\"host\":\"h\",\"port\":7001,\"zone\":\"z\",\"serves\":[\"v\"],"
          + "\"slots\":1,\"trustedRefusals\":true,\"leaving\":false}";

  private static ObjectNode version(String state) {
    ObjectNode node = Json.STRICT.createObjectNode();
    return node.put("model", "small").put("state", state).put("costPerThousandTokens", 1);
  }

  /** A write whose response was lost is recognised when the object is read back. */
  @Test
  public void testLostResponseIsRecognised() {
    FakePlatform platform = FakePlatform.create();
    platform.deferCalls(true);
    List<Publisher.Published> results = new ArrayList<>();
    List<Throwable> failures = new ArrayList<>();
    Publisher.to(platform)
        .publish(KEY, version("current"))
        .subscribe()
        .with(results::add, failures::add);
    platform.deliver(0, false);
    platform.deliver(0, true);
    platform.deliverAll();
    assertEquals(failures, List.of());
    assertEquals(results.get(0).result(), Publisher.Published.Result.CREATED);
  }

  /** A publish over an outdated revision fails with a conflict that carries the current object. */
  @Test
  public void testConflictCarriesExpectedRevisionAndCurrentObject() {
    FakePlatform platform = FakePlatform.create();
    Publisher publisher = Publisher.to(platform);
    publisher.publish(KEY, version("current")).await().indefinitely();
    List<Throwable> failures = new ArrayList<>();
    publisher
        .publishIfCurrent(KEY, Optional.empty(), version("retiring"))
        .subscribe()
        .with(published -> {}, failures::add);
    ConflictException conflict = (ConflictException) failures.get(0);
    assertEquals(conflict.expected(), StoreRevision.NONE);
    StoredObject existing = conflict.current().orElseThrow();
    assertEquals(existing.value().path("state").asText(), "current");
  }

  /** A withdrawn version cannot be published again under its name. */
  @Test
  public void testWithdrawnVersionCannotBePublishedAgain() {
    FakePlatform platform = FakePlatform.create();
    Publisher publisher = Publisher.to(platform);
    publisher.publish(KEY, version("withdrawn")).await().indefinitely();
    List<Throwable> failures = new ArrayList<>();
    publisher.publish(KEY, version("current")).subscribe().with(published -> {}, failures::add);
    assertTrue(failures.get(0) instanceof ConfigurationInvalidException, failures.toString());
  }

  /** Returns invalid objects and the text that the error message must contain. */
  @DataProvider
  public Object[][] invalidObjects() {
    return new Object[][] {
      {"policy", "{\"program\":\"model ==\"}", "policy/x.program: x:1:9"},
      {"policy", "{\"program\":\"model + 1\"}", "policy/x.program: x:1:7"},
      {"version", "{\"model\":\"m\",\"state\":\"new\",\"costPerThousandTokens\":1}", ".state"},
      {"version", VALID_VERSION.replace("}", ",\"x\":1}"), ".x: is unknown"},
      {"version", "{\"model\":\"m\",\"state\":\"current\"}", ".costPerThousandTokens: is missing"},
      {"upstream", VALID_UPSTREAM.replace("7001", "0"), ".port"},
      {"cascade", "{\"stages\":[],\"safeStage\":0,\"qualityTarget\":0.9}", ".stages"},
      {"nothing", "{}", "unknown kind"},
    };
  }

  /** The offline check reports the object, the field and, for a policy, line and column. */
  @Test(dataProvider = "invalidObjects")
  public void testCheckNamesInvalidField(String kind, String spec, String expectedText)
      throws IOException {
    Path file = Files.createTempFile("oatlug", ".json");
    String object = "{\"kind\":\"" + kind + "\",\"name\":\"x\",\"spec\":" + spec + "}";
    Files.writeString(file, "{\"objects\":[" + object + "]}");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes);
    ExitCode code = Oatlug.run(new String[] {"check", "-f", file.toString()}, out, out);
    assertEquals(code, ExitCode.INVALID);
    assertTrue(bytes.toString().contains(expectedText), bytes.toString());
  }

  /** Both example deployments are valid. */
  @Test
  public void testExampleDeploymentsAreValid() {
    for (String name : new String[] {"blue-mahoe", "terminal-wayfinding"}) {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      PrintStream out = new PrintStream(bytes);
      String file = "../deploy/" + name + "/objects.json";
      ExitCode code = Oatlug.run(new String[] {"check", "-f", file}, out, out);
      assertEquals(code, ExitCode.OK, bytes.toString());
    }
  }

  /** Every command has a usage text with an example. */
  @Test
  public void testEveryCommandHasHelp() {
    for (String name :
        List.of(
            "apply", "check", "get", "version", "rollout", "policy", "status", "explain",
            "bills")) {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      PrintStream out = new PrintStream(bytes);
      assertEquals(Oatlug.run(new String[] {name, "--help"}, out, out), ExitCode.OK);
      assertTrue(bytes.toString().contains("example: oatlug " + name), bytes.toString());
    }
  }

  /** Settings with an unknown or invalid field are refused with the path of the field. */
  @Test
  public void testInvalidSettingsNameTheField() throws IOException {
    Path file = Files.createTempFile("oatlug", ".json");
    Files.writeString(file, "{\"name\":\"x\",\"zoen\":\"y\",\"operators\":{\"port\":\"a\"}}");
    SettingsInvalidException failure = null;
    try {
      SettingsFile.read(file);
    } catch (SettingsInvalidException e) {
      failure = e;
    }
    String text = String.join("\n", failure.problems());
    assertTrue(text.contains("zoen"), text);
    assertTrue(text.contains("$.operators.port"), text);
    Files.writeString(file, "{");
    assertThrows(SettingsInvalidException.class, () -> SettingsFile.read(file));
  }
}
