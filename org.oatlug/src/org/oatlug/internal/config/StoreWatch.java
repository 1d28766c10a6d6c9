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
import org.oatlug.errors.PlatformUnavailableException;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreEpoch;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Reads the kinds of one group from the platform: a list first, then watches, and a list again
 * after any failure and after each restore of the store.
 *
 * <p>Invariants: at most one call is open; a watch continues only within the epoch it began in.
 * Owned by one event loop, not thread-safe.
 */
final class StoreWatch {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration LIST_INTERVAL = Duration.ofSeconds(30);

  /**
   * Delay before the next watch after one that returned changes, so that one call returns several
   * successive changes. Short compared to the two seconds for which leaving upstreams still serve.
   */
  private static final Duration DELAY_AFTER_CHANGE = Duration.ofMillis(150);

  /** The same delay at a secondary reader; the first reader pushes the changes to it. */
  private static final Duration SECONDARY_DELAY_AFTER_CHANGE = Duration.ofMillis(500);

  /** Factor by which a watch of a secondary reader waits longer for a change. */
  private static final int SECONDARY_WAIT_FACTOR = 3;

  /** Consecutive failures that count as an outage, during which entries may expire. */
  private static final int OUTAGE_FAILURES = 2;

  /**
   * Time after an outage within which missing entries may reappear: the two seconds within which
   * they do according to the platform, less the remainder of the bound for leaving upstreams.
   */
  private static final Duration EXPIRY_GRACE = Duration.ofMillis(1800);

  /**
   * Time after a restore within which operators may write missing objects again. No bound exists
   * for that; an intended deletion is delayed by no more than one list interval.
   */
  private static final Duration REWRITE_GRACE = LIST_INTERVAL;

  private final List<String> kinds;
  private final int index;
  private final WatchTiming timing;
  private final Platform platform;
  private final OutageProbe outageProbe;
  private final InstantSource clock;
  private final Meters meters;
  private final Owner owner;
  private Optional<Cancellable> openCall = Optional.empty();
  private StoreRevision revision = StoreRevision.NONE;
  private long epoch = StoreEpoch.UNREPORTED;
  private Instant epochSince = Instant.EPOCH;
  private boolean hasBeenRead;
  private int consecutiveFailures;
  private Instant toleratesMissingUntil = Instant.EPOCH;
  private Instant nextList = Instant.EPOCH;
  private Instant nextCall = Instant.EPOCH;
  private Optional<OpenWatch> openWatch = Optional.empty();
  private int ticksPastDeadline;

  private StoreWatch(
      List<String> kinds,
      int index,
      WatchTiming timing,
      Platform platform,
      OutageProbe outageProbe,
      InstantSource clock,
      Meters meters,
      Owner owner) {
    this.kinds = kinds;
    this.index = index;
    this.timing = timing;
    this.platform = platform;
    this.outageProbe = outageProbe;
    this.clock = clock;
    this.meters = meters;
    this.owner = owner;
  }

  /**
   * Watch without a response so far.
   *
   * @param startedAt when the call started
   * @param deadline the time after which its connection counts as silent
   * @param asFirstReader whether it started with the timing of the first reader
   */
  private record OpenWatch(Instant startedAt, Instant deadline, boolean asFirstReader) {}

  /** Receives the objects and supplies the role of this instance. */
  interface Owner {
    /** Returns whether this instance reads the platform. */
    boolean isReader();

    /** Returns whether the availability zone depends on what this instance reads. */
    boolean isFirstReader();

    /** Returns whether this instance is starting and reads all objects once for itself. */
    boolean isStarting();

    /** Returns the known objects. */
    ObjectJoin known();

    /** Applies objects that were read up to the revision. */
    void received(List<StoredObject> objects, StoreRevision revision, Origin origin);

    /** Handles repeated failures of the platform. */
    void onOutage();

    /** Handles a watch whose connection stopped responding, so that others may be silent too. */
    void onSilentConnection();
  }

  /**
   * Returns a watch that has not read any object yet.
   *
   * @param kinds the kinds that are read with one call
   * @param index the position of this watch among those of the instance, from 0
   * @param timing the timing of the watches of the first reader
   * @param outageProbe shared by the watches of an instance
   */
  static StoreWatch create(
      List<String> kinds,
      int index,
      WatchTiming timing,
      Platform platform,
      OutageProbe outageProbe,
      InstantSource clock,
      Meters meters,
      Owner owner) {
    return new StoreWatch(kinds, index, timing, platform, outageProbe, clock, meters, owner);
  }

  /** Starts the next call if none is open, it is due, and this instance reads. */
  void tick(Instant now) {
    checkEpoch();
    checkOpenWatch(now);
    boolean shouldRead = owner.isReader() || owner.isStarting() && hasNoRevision();
    if (openCall.isPresent() || now.isBefore(nextCall) || !shouldRead || !mayCall(now)) {
      return;
    }
    boolean mustList = hasNoRevision() || !now.isBefore(nextList);
    Uni<Void> call = mustList ? listOnce() : watchOnce();
    // The call may complete during the subscription.
    openCall = Optional.of(() -> {});
    Cancellable subscription =
        call.subscribe().with(unused -> handleSuccess(), this::handleFailure);
    openCall = openCall.map(placeholder -> subscription);
  }

  /** Ends the open watch if its connection is silent, or this instance became the first reader. */
  private void checkOpenWatch(Instant now) {
    if (openWatch.isEmpty()) {
      return;
    }
    OpenWatch open = openWatch.get();
    if (now.isAfter(open.deadline())) {
      // A response that arrived during a pause of this process is handled before the next tick.
      ticksPastDeadline++;
      if (ticksPastDeadline > 1) {
        giveUpSilentWatch(open, now);
      }
    } else if (owner.isFirstReader() && !open.asFirstReader()) {
      restart();
    }
  }

  /** Treats the open watch as failed; the other watches of this instance restart as well. */
  private void giveUpSilentWatch(OpenWatch open, Instant now) {
    logger.atWarning().log(
        "the watch of %s is given up as silent, revision=%s open=%d millis",
        kinds, revision, Duration.between(open.startedAt(), now).toMillis());
    meters.count("store.watch-silent");
    openCall.ifPresent(Cancellable::cancel);
    handleFailure(new PlatformUnavailableException("watch " + kinds, null));
    owner.onSilentConnection();
  }

  /** Ends an open watch; the next one continues at the same revision. */
  void restart() {
    if (openWatch.isPresent()) {
      openCall.ifPresent(Cancellable::cancel);
      openCall = Optional.empty();
      openWatch = Optional.empty();
      nextCall = clock.instant();
    }
  }

  /** Restarts with a list if the store was restored; an open call may never return changes. */
  private void checkEpoch() {
    long newest = platform.epoch().newest();
    if (newest <= epoch) {
      return;
    }
    if (epoch != StoreEpoch.UNREPORTED) {
      tolerateMissing();
    }
    epoch = newest;
    epochSince = clock.instant();
    if (!hasNoRevision() && revision.epoch() < newest) {
      openCall.ifPresent(Cancellable::cancel);
      openCall = Optional.empty();
      openWatch = Optional.empty();
      restartWithList();
    }
  }

  private void restartWithList() {
    revision = StoreRevision.NONE;
    nextCall = clock.instant();
  }

  private boolean hasNoRevision() {
    return revision.number() == 0;
  }

  private boolean mayCall(Instant now) {
    return consecutiveFailures < OUTAGE_FAILURES || outageProbe.acquireAttempt(now);
  }

  /** Returns whether these kinds have been read at least once. */
  boolean hasRead() {
    return hasBeenRead;
  }

  /** Returns whether this watch is reading and its last call to the platform succeeded. */
  boolean isHealthy() {
    return owner.isReader() && !hasNoRevision() && consecutiveFailures == 0;
  }

  /** Lists all objects of the kinds. */
  Uni<Void> listOnce() {
    return platform.list(kinds).invoke(this::handleList).replaceWithVoid();
  }

  private void handleList(Platform.Batch batch) {
    revision = batch.revision();
    if (hasNoRevision()) {
      nextCall = clock.instant().plus(OutageProbe.RETRY_INTERVAL);
    }
    hasBeenRead = true;
    checkEpoch();
    if (consecutiveFailures >= OUTAGE_FAILURES) {
      tolerateMissing();
    }
    List<StoredObject> all = new ArrayList<>(batch.objects());
    Instant now = clock.instant();
    if (now.isBefore(toleratesMissingUntil)) {
      nextList = toleratesMissingUntil;
    } else {
      nextList = now.plus(LIST_INTERVAL);
      all.addAll(tombstonesOfMissing(batch));
      all.addAll(confirmedUpstreams(batch));
    }
    owner.received(all, revision, Origin.LIST);
  }

  /**
   * Expects missing entries to reappear soon, as after an outage. A substitute reader has not seen
   * the outage itself; without this it would treat all expired entries as deleted.
   */
  void tolerateMissing() {
    toleratesMissingUntil = clock.instant().plus(EXPIRY_GRACE);
  }

  /** Returns tombstones for objects that the platform no longer lists. */
  private List<StoredObject> tombstonesOfMissing(Platform.Batch batch) {
    Set<ObjectKey> listed = new HashSet<>();
    batch.objects().forEach(object -> listed.add(object.key()));
    List<StoredObject> tombstones = new ArrayList<>();
    for (StoredObject known : owner.known().all()) {
      if (isExpectedIn(known, batch)
          && !listed.contains(known.key())
          && !Kinds.isTombstone(known.value())) {
        JsonNode tombstone = owner.known().tombstoneOf(known);
        tombstones.add(StoredObject.of(known.key(), batch.revision(), tombstone));
      }
    }
    return tombstones;
  }

  /**
   * Returns the upstream entries for which newer content than that of the restored copy was known,
   * and which the store still has so long after the restore that every live upstream has written
   * its entry again. The store expires the entries of all other upstreams, so these are valid as
   * listed.
   */
  private List<StoredObject> confirmedUpstreams(Platform.Batch batch) {
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

  /** Returns whether the list would contain the object if the store still had it. */
  private boolean isExpectedIn(StoredObject known, Platform.Batch list) {
    boolean predatesRestore = known.revision().epoch() < list.revision().epoch();
    boolean upstream = known.key().kind().equals(Kinds.UPSTREAM);
    Instant rewriteDeadline = epochSince.plus(upstream ? EXPIRY_GRACE : REWRITE_GRACE);
    boolean isAwaited = predatesRestore && clock.instant().isBefore(rewriteDeadline);
    return kinds.contains(known.key().kind())
        && !known.revision().isAfter(list.revision())
        && !isAwaited;
  }

  private Uni<Void> watchOnce() {
    Instant now = clock.instant();
    boolean first = owner.isFirstReader();
    WatchTiming roleTiming = first ? timing : timing.multipliedBy(SECONDARY_WAIT_FACTOR);
    Duration untilList = Duration.between(now, nextList);
    Duration untilTurn = roleTiming.waitFrom(now, index);
    Duration wait = untilList.compareTo(untilTurn) < 0 ? untilList : untilTurn;
    Instant deadline = now.plus(wait).plus(timing.grace());
    openWatch = Optional.of(new OpenWatch(now, deadline, first));
    ticksPastDeadline = 0;
    return platform.watch(kinds, revision, wait).invoke(this::handleChanges).replaceWithVoid();
  }

  private void handleChanges(Platform.Batch batch) {
    if (batch.revision().epoch() != revision.epoch()) {
      // The new epoch reuses revisions: a watch would miss its changes up to this revision.
      restartWithList();
      return;
    }
    revision = batch.revision();
    if (!batch.objects().isEmpty()) {
      nextCall =
          clock
              .instant()
              .plus(owner.isFirstReader() ? DELAY_AFTER_CHANGE : SECONDARY_DELAY_AFTER_CHANGE);
    }
    owner.received(batch.objects(), revision, Origin.WATCH);
  }

  private void handleSuccess() {
    if (consecutiveFailures > 0) {
      logger.atInfo().log("the platform is available again for %s", kinds);
    }
    consecutiveFailures = 0;
    outageProbe.recordSuccess();
    openCall = Optional.empty();
    openWatch = Optional.empty();
  }

  private void handleFailure(Throwable failure) {
    if (consecutiveFailures == 0) {
      logger.atWarning().log(
          "reading %s from the platform failed at revision %s: %s, cause: %s",
          kinds, revision, failure.getMessage(), failure.getCause());
    }
    meters.count("retry.platform-watch");
    outageProbe.recordFailure();
    openCall = Optional.empty();
    openWatch = Optional.empty();
    revision = StoreRevision.NONE;
    consecutiveFailures++;
    // Retry at once after the first failure; in an outage the watches share one probe, see
    // OutageProbe.
    boolean outage = consecutiveFailures >= OUTAGE_FAILURES;
    nextCall = outage ? clock.instant().plus(OutageProbe.RETRY_INTERVAL) : clock.instant();
    if (consecutiveFailures >= OUTAGE_FAILURES) {
      owner.onOutage();
    }
  }
}
