// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import org.oatlug.api.ObjectKey;
import org.oatlug.errors.ConflictException;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.ServiceRollout;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Writes the progress of roll-outs to the platform by updates conditional on the known revision.
 *
 * <p>Invariants: at most one write is in flight; a concurrent write of another instance is never
 * overwritten but merged into the tables. Owned by one event loop, not thread-safe.
 */
final class RolloutWriter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final GatewayTables tables;
  private final Platform platform;
  private final Meters meters;
  private boolean writeInFlight;

  private RolloutWriter(GatewayTables tables, Platform platform, Meters meters) {
    this.tables = tables;
    this.platform = platform;
    this.meters = meters;
  }

  /** Returns a writer without a write in flight. */
  static RolloutWriter create(GatewayTables tables, Platform platform, Meters meters) {
    return new RolloutWriter(tables, platform, meters);
  }

  /** Starts to write a roll-out; returns the revision to replace, empty if it was not started. */
  Optional<StoreRevision> write(String service, ServiceRollout rollout) {
    ObjectKey key = ObjectKey.valueOf(GatewayKinds.ROLLOUT, service);
    Optional<StoredObject> replaced = tables.join().get(key);
    if (writeInFlight || replaced.isEmpty() || isOfEarlierEpoch(replaced.get())) {
      return Optional.empty();
    }
    writeInFlight = true;
    JsonNode value = Json.STRICT.valueToTree(rollout);
    platform
        .put(key, replaced.get().revision(), value)
        .subscribe()
        .with(
            revision -> handleWritten(StoredObject.of(key, revision, value)), this::handleFailure);
    return Optional.of(replaced.get().revision());
  }

  /** Returns whether the store was restored and the roll-out was not read from it since. */
  private boolean isOfEarlierEpoch(StoredObject stored) {
    return stored.revision().epoch() < platform.epoch().newest();
  }

  private void handleWritten(StoredObject object) {
    writeInFlight = false;
    tables.mergeAll(List.of(object));
  }

  private void handleFailure(Throwable failure) {
    writeInFlight = false;
    meters.count("retry.rollout-write");
    logger.atWarning().log("cannot write roll-out: %s", failure.getMessage());
    if (failure instanceof ConflictException conflict) {
      conflict.current().ifPresent(current -> tables.mergeAll(List.of(current)));
    }
  }
}
