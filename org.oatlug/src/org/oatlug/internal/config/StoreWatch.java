// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Kinds;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoredObject;

/**
 * Reads the kinds of one group from the platform: a list first, then watches, a list again after
 * any failure.
 *
 * <p>Invariant: at most one call is open. Owned by one event loop, not thread-safe.
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

  private final List<String> kinds;
  private final Duration longestWait;
  private final Platform platform;
  private final OutageProbe probe;
  private final InstantSource clock;
  private final Meters meters;
  private final Owner owner;
  private boolean waiting;
  private long revision;
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
    void received(List<StoredObject> objects, long revision, Origin origin);

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
    boolean wanted = owner.isReader() || owner.isStarting() && revision == 0;
    if (waiting || now.isBefore(nextCall) || !wanted || !mayCall(now)) {
      return;
    }
    waiting = true;
    boolean list = revision == 0 || !now.isBefore(nextList);
    Uni<Void> read = list ? listOnce() : watchOnce();
    read.subscribe().with(unused -> succeeded(), this::failed);
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
    return owner.isReader() && revision != 0 && failuresInRow == 0;
  }

  /** Reads a list. */
  Uni<Void> listOnce() {
    return platform.list(kinds).invoke(this::listed).replaceWithVoid();
  }

  private void listed(Platform.Batch batch) {
    revision = batch.revision();
    read = true;
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
      boolean covered = kinds.contains(known.key().kind()) && known.version() <= batch.revision();
      if (covered && !listed.contains(known.key()) && !Kinds.isTombstone(known.value())) {
        gone.add(new StoredObject(known.key(), batch.revision(), Kinds.tombstone()));
      }
    }
    return gone;
  }

  private Uni<Void> watchOnce() {
    Duration untilList = Duration.between(clock.instant(), nextList);
    Duration longest =
        owner.isFirstReader() ? longestWait : longestWait.multipliedBy(WAIT_FACTOR_BESIDE_FIRST);
    Duration wait = untilList.compareTo(longest) < 0 ? untilList : longest;
    return platform.watch(kinds, revision, wait).invoke(this::changed).replaceWithVoid();
  }

  private void changed(Platform.Batch batch) {
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
    waiting = false;
    if (revision == 0) {
      nextCall = clock.instant().plus(OutageProbe.PAUSE);
    }
  }

  private void failed(Throwable failure) {
    if (failuresInRow == 0) {
      logger.atWarning().log(
          "the platform fails for %s at revision %d: %s, cause: %s",
          kinds, revision, failure.getMessage(), failure.getCause());
    }
    meters.count("retry.platform-watch");
    probe.failed();
    waiting = false;
    revision = 0;
    failuresInRow++;
    // At once after the first failure; in an outage the watches take turns, see OutageProbe.
    boolean outage = failuresInRow >= OUTAGE_FAILURES;
    nextCall = outage ? clock.instant().plus(OutageProbe.PAUSE) : clock.instant();
    if (failuresInRow >= OUTAGE_FAILURES) {
      owner.platformFails();
    }
  }
}
