// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.ledger;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import org.oatlug.api.ObjectKey;
import org.oatlug.errors.ConflictException;
import org.oatlug.errors.LedgerUnavailableException;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Writer of one shard: holds the state that was read and the entries that are not written yet.
 *
 * <p>Invariant: a result is returned only after the write of a head that contains or references all
 * changes of its batch is confirmed, or, if the batch changes nothing, after the head was read
 * again and its revision is the one from which this state was built. Several writers are safe
 * because the head is written by conditional update; after a conflict or a lost reply the head is
 * read again and the pending entries are reapplied, which has no effect for those already in it.
 * Safety does not depend on clocks. Owned by one event loop, not thread-safe.
 */
public final class Shard {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  static final String KIND = "ledger";
  private static final int MAXIMUM_PLATFORM_FAILURES = 2;

  private final String name;
  private final Platform platform;
  private final InstantSource clock;
  private final Duration retention;
  private final Duration interval;
  private final Duration timeout;
  private final int maximumHeadBytes;
  private final Meters meters;
  private final Set<PendingEntry> pending = new LinkedHashSet<>();

  private ShardState state;
  private ShardHead head = ShardHead.EMPTY;
  private StoreRevision headRevision = StoreRevision.NONE;
  private boolean loaded;
  private boolean flushing;
  private int platformFailures;
  private Instant nextFlush = Instant.EPOCH;

  private Shard(
      String name, Platform platform, InstantSource clock, Options options, Meters meters) {
    this.name = name;
    this.platform = platform;
    this.clock = clock;
    this.retention = options.retention();
    this.interval = options.interval();
    this.timeout = options.timeout();
    this.maximumHeadBytes = options.maximumHeadBytes();
    this.meters = meters;
    this.state = new ShardState(retention);
  }

  /**
   * Write parameters of a shard.
   *
   * @param retention time for which entries are retained
   * @param interval minimum time between two writes
   * @param timeout maximum time until an entry is confirmed
   * @param maximumHeadBytes size above which the entries of the head move to a segment, as the
   *     number of characters of their JSON
   */
  public record Options(
      Duration retention, Duration interval, Duration timeout, int maximumHeadBytes) {}

  /** Creates a writer of the shard that has not read any state yet. */
  public static Shard create(
      String name,
      Platform platform,
      InstantSource clock,
      Options options,
      MetricRegistry metrics) {
    return new Shard(name, platform, clock, options, Meters.of(metrics));
  }

  /** Submitted entry that is not confirmed yet. Compared by identity. */
  private static final class PendingEntry {
    private final LedgerEntry entry;
    private final Instant submittedAt;
    private final UniEmitter<? super LedgerResult> emitter;

    PendingEntry(LedgerEntry entry, Instant submittedAt, UniEmitter<? super LedgerResult> emitter) {
      this.entry = entry;
      this.submittedAt = submittedAt;
      this.emitter = emitter;
    }
  }

  /**
   * Submits an entry and completes when it is confirmed.
   *
   * <p>Fails with {@link LedgerUnavailableException} when it was not confirmed in time or the
   * platform failed repeatedly; it may still take effect.
   */
  public Uni<LedgerResult> submit(LedgerEntry entry) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              pending.add(new PendingEntry(entry, clock.instant(), emitter));
              flushIfDue();
            });
  }

  /** Fails pending entries that timed out and writes the others if a write is due. */
  public void tick() {
    failOverdue();
    flushIfDue();
  }

  /** Returns the number of keys in memory. */
  public int size() {
    return state.size();
  }

  private void failOverdue() {
    Instant earliestSubmission = clock.instant().minus(timeout);
    List<PendingEntry> overdue =
        pending.stream()
            .filter(pendingEntry -> pendingEntry.submittedAt.isBefore(earliestSubmission))
            .toList();
    failEntries(overdue);
  }

  private void failEntries(List<PendingEntry> entries) {
    entries.forEach(pending::remove);
    for (PendingEntry pendingEntry : entries) {
      meters.count("ledger.given-up");
      pendingEntry.emitter.fail(new LedgerUnavailableException(null));
    }
  }

  private void flushIfDue() {
    boolean due = !clock.instant().isBefore(nextFlush);
    if (flushing || !due || pending.isEmpty()) {
      return;
    }
    flushing = true;
    nextFlush = clock.instant().plus(interval);
    Uni<Void> read = loaded ? Uni.createFrom().voidItem() : load();
    read.onItem()
        .transformToUni(unused -> write())
        .subscribe()
        .with(unused -> writeSucceeded(), this::writeFailed);
  }

  private void writeSucceeded() {
    flushing = false;
    platformFailures = 0;
  }

  private void writeFailed(Throwable failure) {
    loaded = false;
    flushing = false;
    if (failure instanceof ConflictException) {
      meters.count("ledger.conflict");
      return;
    }
    meters.count("ledger.platform-failure");
    platformFailures++;
    if (platformFailures >= MAXIMUM_PLATFORM_FAILURES) {
      failEntries(List.copyOf(pending));
    }
  }

  private Uni<Void> write() {
    List<PendingEntry> batch = List.copyOf(pending);
    long now = clock.instant().toEpochMilli();
    List<LedgerEntry> added = new ArrayList<>();
    List<LedgerResult> results = new ArrayList<>();
    for (PendingEntry pendingEntry : batch) {
      ShardState.Applied applied = state.apply(pendingEntry.entry, now);
      results.add(applied.result());
      if (applied.changed()) {
        added.add(pendingEntry.entry);
      }
    }
    if (added.isEmpty()) {
      return verify(batch, results);
    }
    List<LedgerEntry> entries = new ArrayList<>(head.entries());
    entries.addAll(added);
    return writeHead(new ShardHead(head.segments(), entries))
        .invoke(unused -> confirm(batch, results));
  }

  /** Confirms a batch that changes nothing, if no other writer has updated the head meanwhile. */
  private Uni<Void> verify(List<PendingEntry> batch, List<LedgerResult> results) {
    return platform
        .get(headKey())
        .onItem()
        .transformToUni(
            stored -> {
              StoreRevision currentRevision =
                  stored.map(StoredObject::revision).orElse(StoreRevision.NONE);
              if (currentRevision.equals(headRevision)) {
                confirm(batch, results);
                return Uni.createFrom().voidItem();
              }
              resetState();
              return loadHead(stored).onItem().transformToUni(unused -> write());
            });
  }

  private Uni<Void> writeHead(ShardHead newHead) {
    if (sizeOf(newHead.entries()) > maximumHeadBytes) {
      return seal(newHead).onItem().transformToUni(this::put);
    }
    return put(newHead);
  }

  private Uni<Void> put(ShardHead newHead) {
    return platform
        .put(headKey(), headRevision, Json.STRICT.valueToTree(newHead))
        .invoke(
            newRevision -> {
              head = newHead;
              headRevision = newRevision;
            })
        .replaceWithVoid();
  }

  /**
   * Moves the entries into a segment with a name that was never used, and drops the references to
   * expired segments from the head.
   */
  private Uni<ShardHead> seal(ShardHead fullHead) {
    long now = clock.instant().toEpochMilli();
    String segmentName = name + "-" + UUID.randomUUID();
    final JsonNode content =
        Json.STRICT.valueToTree(new ShardHead.SegmentContent(fullHead.entries()));
    List<ShardHead.Segment> segments = new ArrayList<>();
    for (ShardHead.Segment segment : fullHead.segments()) {
      if (segment.sealedMillis() >= now - retention.toMillis()) {
        segments.add(segment);
      }
    }
    segments.add(new ShardHead.Segment(segmentName, now));
    meters.count("ledger.sealed");
    state.removeExpired(now);
    return platform
        .put(ObjectKey.valueOf(KIND, segmentName), StoreRevision.NONE, content)
        .replaceWith(new ShardHead(segments, List.of()));
  }

  private void confirm(List<PendingEntry> batch, List<LedgerResult> results) {
    batch.forEach(pending::remove);
    for (int index = 0; index < batch.size(); index++) {
      batch.get(index).emitter.complete(results.get(index));
    }
  }

  private void resetState() {
    loaded = false;
    state = new ShardState(retention);
  }

  private Uni<Void> load() {
    resetState();
    return platform.get(headKey()).onItem().transformToUni(this::loadHead);
  }

  private Uni<Void> loadHead(Optional<StoredObject> stored) {
    ShardHead loadedHead =
        stored.map(object -> LedgerReader.parse(object, ShardHead.class)).orElse(ShardHead.EMPTY);
    Uni<Void> segments = Uni.createFrom().voidItem();
    for (ShardHead.Segment segment : loadedHead.segments()) {
      segments = segments.onItem().transformToUni(unused -> loadSegment(segment.name()));
    }
    return segments.invoke(
        () -> {
          applyAll(loadedHead.entries());
          head = loadedHead;
          headRevision = stored.map(StoredObject::revision).orElse(StoreRevision.NONE);
          loaded = true;
        });
  }

  private Uni<Void> loadSegment(String segment) {
    return platform
        .get(ObjectKey.valueOf(KIND, segment))
        .onItem()
        .transformToUni(
            stored -> {
              if (stored.isEmpty()) {
                logger.atSevere().log("ledger segment %s is missing", segment);
                return Uni.createFrom().failure(new LedgerUnavailableException(null));
              }
              applyAll(LedgerReader.parse(stored.get(), ShardHead.SegmentContent.class).entries());
              return Uni.createFrom().voidItem();
            });
  }

  private void applyAll(List<LedgerEntry> entries) {
    long now = clock.instant().toEpochMilli();
    for (LedgerEntry entry : entries) {
      state.apply(entry, now);
    }
  }

  private ObjectKey headKey() {
    return ObjectKey.valueOf(KIND, name);
  }

  private static int sizeOf(List<LedgerEntry> entries) {
    JsonNode tree = Json.STRICT.valueToTree(entries);
    return tree.toString().length();
  }
}
