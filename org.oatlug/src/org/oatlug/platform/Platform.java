// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.oatlug.api.ObjectKey;

/**
 * Part of the platform's object API that oatlug uses.
 *
 * <p>Every call fails with {@link org.oatlug.errors.PlatformUnavailableException} when there is no
 * response and with {@link org.oatlug.errors.PlatformBusyException} when the platform's rate limit
 * is exceeded. A response of an earlier epoch than the newest known one is discarded, and the call
 * fails with {@link org.oatlug.errors.PlatformUnavailableException}. Implementations are used from
 * one event loop.
 */
public interface Platform {

  /** Returns the object, empty if there is none. */
  Uni<Optional<StoredObject>> get(ObjectKey key);

  /** Returns all objects of the kinds and the revision up to which the list is complete. */
  Uni<Batch> list(List<String> kinds);

  /**
   * Writes the object if its revision is still {@code expected}.
   *
   * <p>Fails with {@link org.oatlug.errors.ConflictException} when it is not.
   *
   * <p>A write that was prepared in an earlier epoch of the store is not sent, as its condition may
   * match other content; it fails with the same exception.
   *
   * @param expected the revision that was read, {@link StoreRevision#NONE} if there was none
   * @return the new revision
   */
  Uni<StoreRevision> put(ObjectKey key, StoreRevision expected, JsonNode value);

  /**
   * Waits for changes of the kinds after {@code revision}.
   *
   * @param wait how long to wait for the first change
   * @return the changes, empty if there are none within {@code wait}
   */
  Uni<Batch> watch(List<String> kinds, StoreRevision revision, Duration wait);

  /**
   * Makes later calls use new connections, as an open one has stopped responding; calls in progress
   * are not affected. Has no effect where no connection is kept.
   */
  default void renewConnections() {}

  /** Returns the newest epoch of the store that is known; all calls of an instance share it. */
  StoreEpoch epoch();

  /** Returns the platform's list of instances, which may be out of date. */
  Uni<List<ListedInstance>> instances();

  /**
   * Objects and the revision up to which they are complete.
   *
   * @param revision the revision of the store
   * @param objects the objects, each at its newest revision
   */
  record Batch(StoreRevision revision, List<StoredObject> objects) {}

  /**
   * Entry instance as listed by the platform.
   *
   * @param name the name, never reused for another process
   * @param zone the availability zone
   * @param rack the rack, a failure domain
   * @param host the IP address
   * @param peerPort the port of the protocol between instances
   * @param leaving whether the platform is about to stop it
   */
  record ListedInstance(
      String name, String zone, String rack, String host, int peerPort, boolean leaving) {}
}
