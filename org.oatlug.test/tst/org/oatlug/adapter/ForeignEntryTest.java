// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.adapter;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.config.Kinds;
import org.oatlug.errors.ConfigurationInvalidException;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Tests the decoding of objects that another system wrote to the store.
 *
 * <p>Guards against an unknown state that counts as ready, a missing service or zone that becomes
 * an empty name, and an undecodable entry that leaves its previous value in effect. Such an entry
 * must be marked as unusable, so that it names no upstream to use.
 */
class ForeignEntryTest {
  private static final String SEED = "20261203";
  private static final long EPOCH = 3;
  private static final List<String> FIELDS =
      List.of("service", "address", "zone", "version", "slots", "state", "cold-ms", "sequence");
  private static final List<String> INVALID_VALUES =
      List.of(
          "null",
          "true",
          "{}",
          "[]",
          "\"\"",
          "\" \"",
          "-1",
          "1e400",
          "\"\\u0000\\uD800\"",
          "0.5",
          "9223372036854775808",
          "18446744073709551617");

  /** The fields to spoil in objects of each kind; {@link #FIELDS} if none are listed. */
  private static final Map<String, List<String>> FIELDS_BY_KIND =
      Map.of(
          GatewayKinds.UPSTREAM, List.of(),
          GatewayKinds.ROUTING, List.of("routes", "services", "tenants", "limits", "version"),
          GatewayKinds.ROLLOUT, List.of("service", "target-version", "duration-s"),
          GatewayKinds.EVACUATION, List.of());

  private static ObjectNode validEntry() throws Exception {
    String text = SampleObjects.upstream("pool", "127.0.0.1", 8080, "v1").encode();
    return (ObjectNode) Json.STRICT.readTree(text);
  }

  private static ObjectNode object(String name, JsonNode spec) {
    ObjectNode object = Json.STRICT.createObjectNode();
    object.putObject("metadata").put("name", name).put("revision", 7);
    object.set("spec", spec);
    return object;
  }

  private static StoredObject decode(JsonNode spec) throws ConfigurationInvalidException {
    return ObjectDecoder.decode(GatewayKinds.UPSTREAM, object("i-1", spec), EPOCH);
  }

  private static void assertUnusable(JsonNode spec) throws Exception {
    StoredObject decoded = decode(spec);
    assertTrue(Kinds.problemOfUnusable(decoded.value()).isPresent(), "accepted: " + spec);
    assertTrue(Kinds.isTombstone(decoded.value()));
    assertEquals(decoded.revision(), new StoreRevision(EPOCH, 7));
  }

  @Property(tries = 1, seed = SEED)
  void testValidEntryIsAccepted() throws Exception {
    UpstreamRecord upstreamRecord =
        Json.STRICT.treeToValue(decode(validEntry()).value(), UpstreamRecord.class);
    UpstreamRecord expected =
        UpstreamRecord.of("pool", "127.0.0.1", 8080, "hall-a", "v1", 8, false).withSequence(1);
    assertEquals(upstreamRecord, expected);
    assertEquals(upstreamRecord.coldMillis(), OptionalLong.empty());
  }

  @Property(tries = 1, seed = SEED)
  void testMissingFieldMakesEntryUnusable() throws Exception {
    for (String field : FIELDS) {
      assertUnusable(validEntry().without(field));
    }
  }

  @Property(tries = 1, seed = SEED)
  void testFieldOfAnotherTypeMakesEntryUnusable() throws Exception {
    for (String field : FIELDS) {
      boolean isNumber = List.of("slots", "cold-ms", "sequence").contains(field);
      assertUnusable(validEntry().put(field, isNumber ? "8" : ""));
      for (String invalid : INVALID_VALUES) {
        boolean isNonBlankText = invalid.contains("uD800");
        if (isNumber || !isNonBlankText) {
          assertUnusable(validEntry().set(field, Json.STRICT.readTree(invalid)));
        }
      }
    }
  }

  @Property(tries = 1, seed = SEED)
  void testUnknownStateOrInvalidAddressMakesEntryUnusable() throws Exception {
    for (String state : List.of("READY", "starting", "ready ", "x".repeat(100_000))) {
      assertUnusable(validEntry().put("state", state));
    }
    List<String> addresses =
        List.of("127.0.0.1", ":80", "127.0.0.1:0", "127.0.0.1:70000", "host:80", "1.2.3.4:8a");
    for (String address : addresses) {
      assertUnusable(validEntry().put("address", address));
    }
    for (String notAnObject : List.of("3", "\"text\"", "[]", "null", "true")) {
      assertUnusable(Json.STRICT.readTree(notAnObject));
    }
  }

  @Property(tries = 1, seed = SEED)
  void testStartTimeIsReadAndInvalidStartTimeIsIgnored() throws Exception {
    UpstreamRecord upstreamRecord =
        Json.STRICT.treeToValue(
            decode(validEntry().put("born", 1764720000123L)).value(), UpstreamRecord.class);
    assertEquals(upstreamRecord.startedAtMillis(), OptionalLong.of(1764720000123L));
    for (String invalid : INVALID_VALUES) {
      JsonNode spec = validEntry().set("born", Json.STRICT.readTree(invalid));
      UpstreamRecord withoutStart =
          Json.STRICT.treeToValue(decode(spec).value(), UpstreamRecord.class);
      assertEquals(withoutStart.startedAtMillis(), OptionalLong.empty(), invalid);
    }
  }

  /**
   * An object of any content is decoded, marked as unusable or rejected. An upstream with a valid
   * name is never rejected, as its previous entry would then stay in effect.
   */
  @Property(tries = 400, seed = SEED)
  void testArbitraryObjectsDoNotCrashTheDecoder(@ForAll long randomSeed) throws Exception {
    Random random = new Random(randomSeed);
    for (Map.Entry<String, List<String>> kind : FIELDS_BY_KIND.entrySet()) {
      ObjectNode spec = validEntry();
      List<String> fields = kind.getValue().isEmpty() ? FIELDS : kind.getValue();
      for (String field : fields) {
        if (random.nextInt(3) == 0) {
          String invalid = INVALID_VALUES.get(random.nextInt(INVALID_VALUES.size()));
          JsonNode value = Json.STRICT.readTree(invalid);
          spec.set(field, random.nextBoolean() ? value : spec.arrayNode().add(value));
        }
      }
      ObjectNode object = object("name-" + (char) random.nextInt(0x500), spec);
      if (random.nextInt(5) == 0) {
        object.set(
            "status",
            Json.STRICT.readTree(INVALID_VALUES.get(random.nextInt(INVALID_VALUES.size()))));
      }
      try {
        StoredObject decoded = ObjectDecoder.decode(kind.getKey(), object, EPOCH);
        assertEquals(decoded.revision(), new StoreRevision(EPOCH, 7));
      } catch (ConfigurationInvalidException e) {
        assertFalse(kind.getKey().equals(GatewayKinds.UPSTREAM), e.getMessage());
      }
    }
  }

  @Property(tries = 1, seed = SEED)
  void testNameThatIsNoTextIsRejected() throws Exception {
    for (String name : List.of("null", "7", "{}", "[[]]")) {
      ObjectNode object = object("n", validEntry());
      ((ObjectNode) object.path("metadata")).set("name", Json.STRICT.readTree(name));
      assertThrows(
          ConfigurationInvalidException.class,
          () -> ObjectDecoder.decode(GatewayKinds.UPSTREAM, object, EPOCH));
    }
  }

  @Property(tries = 1, seed = SEED)
  void testTooLongOrMissingNameIsRejected() throws Exception {
    for (String name : List.of("", "n".repeat(100_000))) {
      try {
        ObjectDecoder.decode(GatewayKinds.UPSTREAM, object(name, validEntry()), EPOCH);
        throw new AssertionError("an empty or too long name is accepted");
      } catch (ConfigurationInvalidException e) {
        assertTrue(e.getMessage().length() < 200, "the message is too long");
      }
    }
  }
}
