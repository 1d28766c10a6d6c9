// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Kinds;
import org.oatlug.config.Publisher;
import org.oatlug.errors.ConfigurationInvalidException;
import org.oatlug.errors.OatlugException;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Publishes objects for a command, prints each result and, with {@code --wait}, waits until the
 * object is in force at every live instance. Used from one thread.
 */
final class ObjectPublisher {
  static final String WAIT = "wait";

  private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(15);
  private static final long POLL_MILLIS = 100;

  private final CommandSession session;
  private final Platform platform;
  private final boolean wait;
  private ExitCode result = ExitCode.OK;

  private ObjectPublisher(CommandSession session, Platform platform, boolean wait) {
    this.session = session;
    this.platform = platform;
    this.wait = wait;
  }

  static ObjectPublisher of(CommandLine line, CommandSession session) throws OatlugException {
    return new ObjectPublisher(session, session.platform(), line.hasOption(WAIT));
  }

  /** Computes the new content of an object from its current content. */
  @FunctionalInterface
  interface Change {
    JsonNode apply(ObjectNode existing) throws OatlugException;
  }

  /** Publishes content, whatever the current content of the object is. */
  void publish(ObjectKey key, JsonNode content) throws OatlugException {
    printAndWait(key, session.await(Publisher.to(platform).publish(key, content)));
  }

  /**
   * Applies a change to the current content of an object.
   *
   * @throws ConfigurationInvalidException if the object does not exist or was deleted
   */
  void change(ObjectKey key, Change change) throws OatlugException {
    Optional<StoredObject> existing = session.await(platform.get(key));
    if (existing.isEmpty() || Kinds.isTombstone(existing.get().value())) {
      throw new ConfigurationInvalidException(key.toString(), "does not exist");
    }
    ObjectNode copy = Kinds.withoutPublishId(existing.get().value()).deepCopy();
    JsonNode content = change.apply(copy);
    printAndWait(
        key, session.await(Publisher.to(platform).publishIfCurrent(key, existing, content)));
  }

  /** Returns the names of the objects of a kind with the given field value and state. */
  List<String> namesWhere(String kind, String field, String value, String state)
      throws OatlugException {
    List<String> names = new ArrayList<>();
    for (StoredObject object : session.await(platform.list(List.of(kind))).objects()) {
      boolean matches = object.value().path(field).asText().equals(value);
      if (matches && object.value().path("state").asText().equals(state)) {
        names.add(object.key().name());
      }
    }
    return names;
  }

  /** Returns {@link ExitCode#NOT_IN_FORCE} if a wait timed out, else {@link ExitCode#OK}. */
  ExitCode result() {
    return result;
  }

  private void printAndWait(ObjectKey key, Publisher.Published published) throws OatlugException {
    String text = published.result().name().toLowerCase(java.util.Locale.ROOT);
    if (session.isJson()) {
      ObjectNode node = Json.STRICT.createObjectNode();
      node.put("object", key.toString())
          .put("result", text)
          .put("version", published.revision().number());
      session.print(node.toString());
    } else {
      session.print(key + " " + text + ", version " + published.revision());
    }
    if (wait) {
      awaitInForce(key, published.revision());
    }
  }

  private void awaitInForce(ObjectKey key, StoreRevision publishedRevision) throws OatlugException {
    long deadlineNanos = System.nanoTime() + WAIT_TIMEOUT.toNanos();
    List<String> notInForce = instancesNotInForce(key, publishedRevision);
    while (!notInForce.isEmpty() && System.nanoTime() < deadlineNanos) {
      sleepUntilNextPoll();
      notInForce = instancesNotInForce(key, publishedRevision);
    }
    if (notInForce.isEmpty()) {
      session.print(key + " is in force at every live instance");
      return;
    }
    session.print(key + " is not known to be in force at: " + String.join(", ", notInForce));
    result = ExitCode.NOT_IN_FORCE;
  }

  /** Returns the names of the live instances at which an older revision is in force. */
  private List<String> instancesNotInForce(ObjectKey key, StoreRevision publishedRevision)
      throws OatlugException {
    JsonNode response =
        session.getFromInstance("/in-force", "kind", key.kind(), "name", key.name());
    List<String> names = new ArrayList<>();
    for (Map.Entry<String, JsonNode> entry : response.path("instances").properties()) {
      StoreRevision inForce = Json.STRICT.convertValue(entry.getValue(), StoreRevision.class);
      if (publishedRevision.isAfter(inForce)) {
        names.add(entry.getKey());
      }
    }
    return names;
  }

  private static void sleepUntilNextPoll() {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
