// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Kinds;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreEpoch;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Reads the kinds of one group from the platform: a list first, then watches, a list again after
 * any failure and after each restore of the store.
 *
 * <p>Invariants: at most one call is open; a watch goes on only within the epoch that it began in.
 * Owned by one event loop, not thread-safe.
 */
final class StoreWatch {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration LIST_INTERVAL = Duration.ofSeconds(30);

  /**
   * How long a watch rests after it brought something, so that changes which follow each other come
   * with one call. Little beside the two seconds for which leaving upstreams serve on.
   */
  private static final Duration REST_AFTER_CHANGE = Duration.ofMillis(150);

  /** The same at a reader that stands beside the first one, which pushes what it reads. */
  private static final Duration REST_BESIDE_FIRST = Duration.ofMillis(500);

  /** How many times longer a reader beside the first one waits for a change. */
  private static final int WAIT_FACTOR_BESIDE_FIRST = 3;

  /** So many failures in a row are an outage, during which entries may lapse by themselves. */
  private static final int OUTAGE_FAILURES = 2;

  /**
   * How long after an outage missing entries are believed to come back: the two seconds in which
   * the platform says they do, less what remains of the bound for leaving upstreams.
   */
  private static final Duration LAPSE_GRACE = Duration.ofMillis(1800);

  /**
   * How long after a restore missing objects of operators are believed to be written again. Nobody
   * bounds that; a deletion that is really meant waits no longer than for a regular list.
   */
  private static final Duration REWRITE_GRACE = LIST_INTERVAL;

  private final List<String> kinds;
  private final Duration longestWait;
  private final Platform platform;
  private final OutageProbe probe;
  private final InstantSource clock;
  private final Meters meters;
  private final Owner owner;
  private Optional<Cancellable> open = Optional.empty();
  private StoreRevision revision = StoreRevision.NONE;
  private long epoch = StoreEpoch.UNNAMED;
  private Instant epochSince = Instant.EPOCH;
  private boolean read;
  private int failuresInRow;
  private Instant believedUntil = Instant.EPOCH;
  private Instant nextList = Instant.EPOCH;
  private Instant nextCall = Instant.EPOCH;

  private StoreWatch(
      List<String> kinds,
      Duration longestWait,
      Platform platform,
      OutageProbe probe,
      InstantSource clock,
      Meters meters,
      Owner owner) {
    this.kinds = kinds;
    this.longestWait = longestWait;
    this.platform = platform;
    this.probe = probe;
    this.clock = clock;
    this.meters = meters;
    this.owner = owner;
  }

  /** Takes what was read. */
  interface Owner {
    /** Returns whether this instance reads the platform. */
    boolean isReader();

    /** Returns whether the availability zone depends on what this instance reads. */
    boolean isFirstReader();

    /** Returns whether this instance has just started and reads once for itself. */
    boolean isStarting();

    /** Returns the objects that are known. */
    ObjectJoin known();

    /** Takes in objects that were read up to the revision. */
    void received(List<StoredObject> objects, StoreRevision revision, Origin origin);

    /** Is told that the platform fails again and again. */
    void platformFails();
  }

  /**
   * Returns a watch that has not read anything yet.
   *
   * @param kinds the kinds that are read with one call
   * @param longestWait how long a watch of the first reader waits for a change
   * @param probe shared by the watches of an instance
   */
  static StoreWatch create(
      List<String> kinds,
      Duration longestWait,
      Platform platform,
      OutageProbe probe,
      InstantSource clock,
      Meters meters,
      Owner owner) {
    return new StoreWatch(kinds, longestWait, platform, probe, clock, meters, owner);
  }

  /** Makes the next call if none is open, it is due, and this instance reads. */
  void tick(Instant now) {
    noteEpoch();
    boolean wanted = owner.isReader() || owner.isStarting() && hasNoRevision();
    if (open.isPresent() || now.isBefore(nextCall) || !wanted || !mayCall(now)) {
      return;
    }
    boolean list = hasNoRevision() || !now.isBefore(nextList);
    Uni<Void> call = list ? listOnce() : watchOnce();
    // It may be answered at once.
    open = Optional.of(() -> {});
    Cancellable subscription = call.subscribe().with(unused -> succeeded(), this::failed);
    open = open.map(unanswered -> subscription);
  }

  /** Reads anew if the store was restored; a call that waits since before would tell nothing. */
  private void noteEpoch() {
    long newest = platform.epoch().newest();
    if (newest <= epoch) {
      return;
    }
    if (epoch != StoreEpoch.UNNAMED) {
      believeMissing();
    }
    epoch = newest;
    epochSince = clock.instant();
    if (!hasNoRevision() && revision.epoch() < newest) {
      open.ifPresent(Cancellable::cancel);
      open = Optional.empty();
      readAnew();
    }
  }

  private void readAnew() {
    revision = StoreRevision.NONE;
    nextCall = clock.instant();
  }

  private boolean hasNoRevision() {
    return revision.number() == 0;
  }

  private boolean mayCall(Instant now) {
    return failuresInRow < OUTAGE_FAILURES || probe.mayTry(now);
  }

  /** Returns whether these kinds have been read, however long ago. */
  boolean hasRead() {
    return read;
  }

  /** Returns whether the platform was read lately and did not fail since. */
  boolean isHealthy() {
    return owner.isReader() && !hasNoRevision() && failuresInRow == 0;
  }

  /** Reads a list. */
  Uni<Void> listOnce() {
    return platform.list(kinds).invoke(this::listed).replaceWithVoid();
  }

  private void listed(Platform.Batch batch) {
    revision = batch.revision();
    if (hasNoRevision()) {
      nextCall = clock.instant().plus(OutageProbe.PAUSE);
    }
    read = true;
    noteEpoch();
    if (failuresInRow >= OUTAGE_FAILURES) {
      believeMissing();
    }
    List<StoredObject> all = new ArrayList<>(batch.objects());
    Instant now = clock.instant();
    if (now.isBefore(believedUntil)) {
      nextList = believedUntil;
    } else {
      nextList = now.plus(LIST_INTERVAL);
      all.addAll(vanished(batch));
      all.addAll(confirmed(batch));
    }
    owner.received(all, revision, Origin.LIST);
  }

  /**
   * Believes entries that are missing to come back soon, as after an outage. One who reads instead
   * of a reader has not seen the outage: without this it took all that had lapsed for gone.
   */
  void believeMissing() {
    believedUntil = clock.instant().plus(LAPSE_GRACE);
  }

  /** Returns tombstones for objects that the platform no longer lists. */
  private List<StoredObject> vanished(Platform.Batch batch) {
    Set<ObjectKey> listed = new HashSet<>();
    batch.objects().forEach(object -> listed.add(object.key()));
    List<StoredObject> gone = new ArrayList<>();
    for (StoredObject known : owner.known().all()) {
      if (isCovered(known, batch)
          && !listed.contains(known.key())
          && !Kinds.isTombstone(known.value())) {
        JsonNode tombstone = owner.known().tombstoneOf(known);
        gone.add(StoredObject.of(known.key(), batch.revision(), tombstone));
      }
    }
    return gone;
  }

  /**
   * Returns the entries of upstreams of which something newer than a copy was known, and that the
   * store still shows so long after the restore that whoever lives has written again. The store
   * removes the others by itself, so these hold as they stand.
   */
  private List<StoredObject> confirmed(Platform.Batch batch) {
    if (clock.instant().isBefore(epochSince.plus(REWRITE_GRACE))) {
      return List.of();
    }
    return batch.objects().stream()
        .filter(object -> object.key().kind().equals(Kinds.UPSTREAM))
        .filter(this::isRetained)
        .map(StoredObject::confirmed)
        .toList();
  }

  private boolean isRetained(StoredObject object) {
    return owner.known().get(object.key()).map(StoredObject::retained).orElse(false);
  }

  /** Returns whether an object would stand in the list if the store still had it. */
  private boolean isCovered(StoredObject known, Platform.Batch list) {
    boolean lost = known.revision().epoch() < list.revision().epoch();
    boolean upstream = known.key().kind().equals(Kinds.UPSTREAM);
    Instant writtenAgain = epochSince.plus(upstream ? LAPSE_GRACE : REWRITE_GRACE);
    boolean awaited = lost && clock.instant().isBefore(writtenAgain);
    return kinds.contains(known.key().kind())
        && !known.revision().isAfter(list.revision())
        && !awaited;
  }

  private Uni<Void> watchOnce() {
    Duration untilList = Duration.between(clock.instant(), nextList);
    Duration longest =
        owner.isFirstReader() ? longestWait : longestWait.multipliedBy(WAIT_FACTOR_BESIDE_FIRST);
    Duration wait = untilList.compareTo(longest) < 0 ? untilList : longest;
    return platform.watch(kinds, revision, wait).invoke(this::changed).replaceWithVoid();
  }

  private void changed(Platform.Batch batch) {
    if (batch.revision().epoch() != revision.epoch()) {
      // The revision was given out again: what was written below it since would be missed.
      readAnew();
      return;
    }
    revision = batch.revision();
    if (!batch.objects().isEmpty()) {
      nextCall =
          clock.instant().plus(owner.isFirstReader() ? REST_AFTER_CHANGE : REST_BESIDE_FIRST);
    }
    owner.received(batch.objects(), revision, Origin.WATCH);
  }

  private void succeeded() {
    if (failuresInRow > 0) {
      logger.atInfo().log("the platform answers again for %s", kinds);
    }
    failuresInRow = 0;
    probe.answered();
    open = Optional.empty();
  }

  private void failed(Throwable failure) {
    if (failuresInRow == 0) {
      logger.atWarning().log(
          "the platform fails for %s at revision %s: %s, cause: %s",
          kinds, revision, failure.getMessage(), failure.getCause());
    }
    meters.count("retry.platform-watch");
    probe.failed();
    open = Optional.empty();
    revision = StoreRevision.NONE;
    failuresInRow++;
    // At once after the first failure; in an outage the watches take turns, see OutageProbe.
    boolean outage = failuresInRow >= OUTAGE_FAILURES;
    nextCall = outage ? clock.instant().plus(OutageProbe.PAUSE) : clock.instant();
    if (failuresInRow >= OUTAGE_FAILURES) {
      owner.platformFails();
    }
  }
}
