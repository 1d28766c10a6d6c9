// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.util.Comparator;
import java.util.Optional;
import org.oatlug.config.Kinds;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.ServiceRollout;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.config.ObjectRules;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoredObject;

/**
 * Resolves which of two states of an object of routed services is in force.
 *
 * <p>The routing configuration is ordered by its own version. After the store was restored from a
 * copy, a later entry of the same upstream process is retained over the earlier one in the copy,
 * and so is the progress of a roll-out, because only instances write it and nothing else would
 * write it again. Stateless, thread-safe.
 */
final class GatewayRules implements ObjectRules {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Lower than any version, so that a tombstone never replaces a configuration. */
  private static final long NO_CONFIGURATION = -1;

  private static final Comparator<EntryAge> BY_AGE =
      Comparator.comparingLong(EntryAge::startedAtMillis)
          .thenComparingLong(EntryAge::sequence)
          .thenComparing(EntryAge::stage);

  private GatewayRules() {}

  /** Returns the rules. */
  static GatewayRules create() {
    return new GatewayRules();
  }

  /** The life cycle of an upstream; a later constant takes precedence over an earlier one. */
  private enum Stage {
    SERVING,
    LEAVING,
    REMOVED
  }

  /** The order in which an upstream wrote its entries, by its own start time and sequence. */
  private record EntryAge(long startedAtMillis, long sequence, Stage stage) {}

  @Override
  public long versionOf(StoredObject object) {
    if (!object.key().kind().equals(GatewayKinds.ROUTING)) {
      return 0;
    }
    boolean deleted = Kinds.isTombstone(object.value());
    return deleted ? NO_CONFIGURATION : object.value().path("version").asLong();
  }

  @Override
  public Optional<JsonNode> retained(StoredObject earlier, StoredObject later) {
    return switch (earlier.key().kind()) {
      case GatewayKinds.UPSTREAM -> retainedEntry(earlier, later);
      case GatewayKinds.ROLLOUT -> retainedProgress(earlier, later);
      default -> Optional.empty();
    };
  }

  private static Optional<JsonNode> retainedEntry(StoredObject earlier, StoredObject later) {
    boolean sameEpoch = earlier.revision().epoch() == later.revision().epoch();
    boolean writtenInSameEpoch = sameEpoch && !later.retained();
    boolean deleted = Kinds.isTombstone(later.value()) && !later.retained();
    if (writtenInSameEpoch || deleted || BY_AGE.compare(ageOf(earlier), ageOf(later)) <= 0) {
      return Optional.empty();
    }
    return Optional.of(earlier.value());
  }

  private static EntryAge ageOf(StoredObject entry) {
    JsonNode value = entry.value();
    Stage liveStage = value.path("leaving").asBoolean() ? Stage.LEAVING : Stage.SERVING;
    return new EntryAge(
        value.path("startedAtMillis").asLong(),
        value.path("sequence").asLong(),
        Kinds.isTombstone(value) ? Stage.REMOVED : liveStage);
  }

  @Override
  public JsonNode tombstoneOf(StoredObject last) {
    return last.key().kind().equals(GatewayKinds.UPSTREAM)
        ? UpstreamRecord.tombstoneOf(last.value())
        : Kinds.tombstone();
  }

  private static Optional<JsonNode> retainedProgress(StoredObject earlier, StoredObject later) {
    if (Kinds.isTombstone(earlier.value()) || Kinds.isTombstone(later.value())) {
      return Optional.empty();
    }
    try {
      ServiceRollout earlierRollout =
          Json.STRICT.treeToValue(earlier.value(), ServiceRollout.class);
      ServiceRollout laterRollout = Json.STRICT.treeToValue(later.value(), ServiceRollout.class);
      if (!earlierRollout.isSameRolloutAs(laterRollout)
          || earlierRollout.stage() <= laterRollout.stage()) {
        return Optional.empty();
      }
      ServiceRollout.Progress reachedProgress = earlierRollout.progress().orElseThrow();
      return Optional.of(Json.STRICT.valueToTree(laterRollout.withProgress(reachedProgress)));
    } catch (JsonProcessingException e) {
      logger.atWarning().log(
          "%s revision=%s cannot be compared: %s",
          later.key(), later.revision(), e.getOriginalMessage());
      return Optional.empty();
    }
  }
}
