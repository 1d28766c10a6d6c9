// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.oatlug.internal.crash.CrashLedger;
import org.oatlug.internal.crash.CrashUpdate;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;
import org.oatlug.internal.util.TickSystem;

/**
 * Sends the report of this instance to the collector of the availability zone and receives the
 * aggregate of all others; as the collector, aggregates the zone and replicates it to the other
 * zones.
 *
 * <p>Each message carries the whole report, so the next message replaces one that is lost.
 * Invariants: an instance has at most one outstanding request to its collector, and the interval
 * between reports of mere changes grows with the zone up to the refresh interval, to bound the
 * request rate of a collector; nothing is sent while nothing has changed and no refresh is due;
 * evidence against a version is sent at the next tick, and its refutation at once. Owned by one
 * event loop, not thread-safe.
 */
public final class StateExchange implements TickSystem {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * The minimum interval between requests: a fraction of the time for which a prompt is pending.
   */
  private static final Duration MINIMUM_INTERVAL = Duration.ofMillis(100);

  /**
   * The interval between reports for each instance of the zone, so that a collector receives at
   * most 100 a second because of mere changes. New evidence, crashes and refreshes are sent
   * regardless of it.
   */
  private static final Duration INTERVAL_PER_INSTANCE = Duration.ofMillis(10);

  /** The interval between reports while no prompt is pending and no version is being rolled out. */
  private static final Duration IDLE_REFRESH = Duration.ofSeconds(1);

  /** The timeout of a request: many times the latency between zones. */
  private static final Duration TIMEOUT = Duration.ofMillis(400);

  /** The time within which a new instance receives the state of the collectors of all zones. */
  private static final Duration INITIAL_EXCHANGE = Duration.ofMillis(600);

  /** The time for which a new instance waits for crash records that others may still send. */
  private static final Duration UNANSWERED_CRASH_QUERY = Duration.ofMillis(1500);

  /** The minimum interval between log lines on rejected reports, in seconds. */
  private static final int REJECTION_LOG_SECONDS = 1;

  private final Membership membership;
  private final PeerNetwork network;
  private final InstantSource clock;
  private final Meters meters;
  private final ExchangeParticipant participant;
  private final ZoneCollectors collectors;
  private final ReportAggregator aggregator = ReportAggregator.create();
  private final SessionLog sessions = SessionLog.create();
  private final PendingSessions pendingSessions = PendingSessions.create();
  private final ZoneReplication zoneReplication = ZoneReplication.create(sessions);
  private final CrashLedger ledger;
  private final CrashReplication crashReplication;
  private final StartupCrashQuery crashQuery;
  private StateReport lastReport = StateReport.EMPTY;
  private Instant reportedAt = Instant.EPOCH;
  private Optional<Instant> startedAt = Optional.empty();
  private boolean receivedRecords;
  private boolean requestOutstanding;
  private String collectorProcess = "";
  private long sessionsReadUpTo;
  private long pushedRefuted;
  private long pushedCrashRevision;

  private StateExchange(
      Membership membership,
      PeerNetwork network,
      InstantSource clock,
      Meters meters,
      ExchangeParticipant participant,
      CrashLedger ledger) {
    this.membership = membership;
    this.network = network;
    this.clock = clock;
    this.meters = meters;
    this.participant = participant;
    this.ledger = ledger;
    this.crashReplication = CrashReplication.of(ledger);
    this.crashQuery = StartupCrashQuery.create(membership, network, clock, ledger);
    this.collectors = ZoneCollectors.of(membership, clock);
  }

  /**
   * Returns a system that exchanges the reports of a participant.
   *
   * @param ledger the requests during which upstreams crashed, merged by all instances
   */
  public static StateExchange create(
      Membership membership,
      PeerNetwork network,
      InstantSource clock,
      Meters meters,
      ExchangeParticipant participant,
      CrashLedger ledger) {
    return new StateExchange(membership, network, clock, meters, participant, ledger);
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    startedAt = startedAt.or(() -> Optional.of(now));
    if (!hasCrashRecords()) {
      crashQuery.askPeers();
    }
    pendingSessions.add(participant.drainPendingSessions(), now);
    StateReport own = participant.localReport();
    Optional<Member> remoteCollector = collectors.ofOwnZone();
    if (remoteCollector.isEmpty()) {
      collect(own, now);
    } else if (!requestOutstanding
        && (crashReplication.isBehind(remoteCollector.get()) || isDue(own, now))) {
      sendReport(remoteCollector.get(), own, now);
    }
  }

  /**
   * Sends the report of this instance at once, or at the first tick after the outstanding request
   * has completed, as after it refuted a version.
   */
  public void sendReportNow() {
    reportedAt = Instant.EPOCH;
    tick();
  }

  /**
   * Returns whether this instance has the session records of the others: it has the response of an
   * informed collector, or has run for long enough to have received them from all.
   */
  public boolean hasSessionRecords() {
    return receivedRecords || hasCompletedInitialExchange();
  }

  /**
   * Returns whether this instance has the crash records of the others: one that has them responded,
   * or those that can be reached have just started, too, or none responds for long.
   */
  public boolean hasCrashRecords() {
    return crashQuery.isAnswered()
        || hasRunFor(UNANSWERED_CRASH_QUERY)
        || hasCompletedInitialExchange() && !crashQuery.isOutstanding();
  }

  /** Returns whether this instance has run for long enough to have received all reports. */
  public boolean hasCompletedInitialExchange() {
    return hasRunFor(INITIAL_EXCHANGE);
  }

  private boolean hasRunFor(Duration duration) {
    return startedAt.map(start -> clock.instant().isAfter(start.plus(duration))).orElse(false);
  }

  private boolean isDue(StateReport own, Instant now) {
    Duration elapsed = Duration.between(reportedAt, now);
    if (own.worsePairs() > lastReport.worsePairs() || own.refuted() > lastReport.refuted()) {
      return true;
    }
    Duration refresh =
        own.isIdle() && lastReport.isIdle() ? IDLE_REFRESH : ReportAggregator.REFRESH_INTERVAL;
    if (elapsed.compareTo(refresh) >= 0) {
      return true;
    }
    Duration interval = INTERVAL_PER_INSTANCE.multipliedBy(membership.zonePeers().size() + 1L);
    boolean changed = !pendingSessions.isEmpty() || !own.equalsIgnoringAges(lastReport);
    return changed && elapsed.compareTo(MINIMUM_INTERVAL) >= 0 && elapsed.compareTo(interval) >= 0;
  }

  private void sendReport(Member peer, StateReport own, Instant now) {
    if (changeCollector(peer.process())) {
      // The previous collector may have lost its sessions; every instance resends its own.
      pendingSessions.add(participant.localSessions(), now);
    }
    requestOutstanding = true;
    lastReport = own;
    reportedAt = now;
    PendingSessions.Batch batch = pendingSessions.nextBatch(now);
    CrashUpdate crashChanges = crashReplication.changesFor(peer);
    PeerMessage request =
        new PeerMessage.InstanceAccount(
            lastReport,
            batch.sessions(),
            sessionsReadUpTo,
            crashChanges,
            crashReplication.readRevision(peer));
    network
        .sendRequest(peer, request, TIMEOUT)
        .subscribe()
        .with(
            response -> {
              reportAcknowledged(peer, batch, response);
              mergeCrashes(peer, crashChanges, response);
            },
            failure -> reportFailed(peer, failure));
  }

  /**
   * Sets the collector, reading the log of a new one from its start; returns whether it changed.
   */
  private boolean changeCollector(String process) {
    if (process.equals(collectorProcess)) {
      return false;
    }
    collectorProcess = process;
    sessionsReadUpTo = 0;
    return true;
  }

  private void reportAcknowledged(Member peer, PendingSessions.Batch batch, PeerMessage response) {
    requestOutstanding = false;
    collectors.responded(peer);
    pendingSessions.acknowledge(batch);
    if (response instanceof PeerMessage.FleetAccount fleet && isValid(peer, fleet.others())) {
      sessionsReadUpTo = fleet.sessionsUpTo();
      receivedRecords |= fleet.informed();
      participant.applyReported(fleet.others());
      participant.applyReportedSessions(validOf(fleet.seen()));
    }
  }

  private void mergeCrashes(Member peer, CrashUpdate sent, PeerMessage response) {
    if (response instanceof PeerMessage.FleetAccount fleet) {
      crashReplication.acknowledged(peer, sent);
      crashReplication.mergeResponse(peer, fleet.crashes());
    }
  }

  private static List<SessionObservation> validOf(List<SessionObservation> sessions) {
    return sessions.stream().filter(SessionObservation::isValid).toList();
  }

  private void reportFailed(Member peer, Throwable failure) {
    requestOutstanding = false;
    // The report may be lost, so it is sent to the next collector at the next tick.
    reportedAt = Instant.EPOCH;
    sendFailed(peer, failure);
  }

  private void sendFailed(Member peer, Throwable failure) {
    collectors.failed(peer);
    meters.count("peer.account-lost");
    logger.atFine().log("report not delivered to %s: %s", peer.name(), failure.getMessage());
  }

  /** Aggregates the zone, including this instance, and sends the result to the other zones. */
  private void collect(StateReport own, Instant now) {
    String self = membership.self().process();
    if (changeCollector(self)) {
      // Instances that start later need the sessions that the previous collector had received.
      pendingSessions.add(participant.knownSessions(), now);
    }
    aggregator.putInstance(self, own, now);
    PendingSessions.Batch batch = pendingSessions.nextBatch(now);
    sessions.add(batch.sessions(), true, now);
    pendingSessions.acknowledge(batch);
    Duration refresh = own.isIdle() ? IDLE_REFRESH : MINIMUM_INTERVAL;
    if (Duration.between(reportedAt, now).compareTo(refresh) >= 0) {
      lastReport = own;
      reportedAt = now;
      participant.applyReported(aggregator.sumExcept(self, now));
    }
    SessionLog.Batch unread = sessions.after(sessionsReadUpTo, now);
    sessionsReadUpTo = unread.upTo();
    participant.applyReportedSessions(unread.sessions());
    replicateToZones(now);
    pushRefuted(now);
    pushCrashes();
  }

  /** Sends new crashes to the whole zone at once if any concerns a suspect or refused request. */
  private void pushCrashes() {
    if (ledger.lastSuspectRevision() <= pushedCrashRevision) {
      return;
    }
    CrashUpdate changes = ledger.after(pushedCrashRevision);
    pushedCrashRevision = ledger.revision();
    for (Member peer : membership.zonePeers()) {
      network
          .sendRequest(peer, new PeerMessage.Crashes(changes), TIMEOUT)
          .subscribe()
          .with(response -> {}, failure -> sendFailed(peer, failure));
    }
  }

  private void replicateToZones(Instant now) {
    List<Member> remoteCollectors = collectors.ofOtherZones();
    if (remoteCollectors.isEmpty()) {
      return;
    }
    StateReport own = aggregator.sumOfZone(now);
    for (Member peer : remoteCollectors) {
      zoneReplication
          .updateFor(peer, own, crashReplication.isBehind(peer), now)
          .ifPresent(update -> replicateToZone(peer, update));
    }
  }

  private void replicateToZone(Member peer, ZoneReplication.Update update) {
    CrashUpdate crashChanges = crashReplication.changesFor(peer);
    PeerMessage message =
        new PeerMessage.ZoneAccount(
            membership.self().zone(), update.report(), update.sessions(), crashChanges);
    network
        .sendRequest(peer, message, TIMEOUT)
        .subscribe()
        .with(
            response -> {
              collectors.responded(peer);
              if (response instanceof PeerMessage.Done) {
                crashReplication.acknowledged(peer, crashChanges);
              }
            },
            failure -> {
              sendFailed(peer, failure);
              zoneReplication.lost(peer, clock.instant());
            });
  }

  /** Gives the aggregate to the whole zone at once when another version is refuted. */
  private void pushRefuted(Instant now) {
    long refuted = aggregator.refuted(now);
    if (refuted > pushedRefuted) {
      participant.applyReported(aggregator.sumExcept(membership.self().process(), now));
      for (Member peer : membership.zonePeers()) {
        StateReport others = aggregator.sumExcept(peer.process(), now);
        network
            .sendRequest(peer, pushOf(others), TIMEOUT)
            .subscribe()
            .with(response -> {}, failure -> sendFailed(peer, failure));
      }
    }
    pushedRefuted = refuted;
  }

  private PeerMessage pushOf(StateReport others) {
    return new PeerMessage.FleetAccount(
        others, List.of(), 0, hasSessionRecords(), CrashUpdate.NONE);
  }

  /**
   * Handles the report of an instance of the zone or of another zone's collector, or a push of the
   * collector of this zone.
   */
  public PeerMessage handle(Member from, PeerMessage message) {
    if (message instanceof PeerMessage.Crashes pushed && pushed.changes() != null) {
      crashReplication.mergePushed(from, pushed.changes());
      return new PeerMessage.Done();
    }
    if (message instanceof PeerMessage.CrashQuery) {
      return new PeerMessage.CrashAnswer(ledger.after(0), hasCrashRecords());
    }
    if (message instanceof PeerMessage.InstanceAccount instance) {
      return isValid(from, instance.account()) ? acceptReport(from, instance) : rejection();
    }
    if (message instanceof PeerMessage.ZoneAccount zone) {
      boolean isOtherZone = zone.zone() != null && !zone.zone().equals(membership.self().zone());
      return isOtherZone && isValid(from, zone.account()) ? acceptZone(from, zone) : rejection();
    }
    if (message instanceof PeerMessage.FleetAccount fleet) {
      if (!isValid(from, fleet.others())) {
        return rejection();
      }
      participant.applyReported(fleet.others());
      return new PeerMessage.Done();
    }
    return new PeerMessage.Failed("unexpected message");
  }

  private PeerMessage acceptReport(Member from, PeerMessage.InstanceAccount instance) {
    Instant now = clock.instant();
    aggregator.putInstance(from.process(), instance.account(), now);
    sessions.add(instance.seen(), true, now);
    crashReplication.mergePushed(from, instance.crashes());
    if (instance.account().refuted() > pushedRefuted) {
      replicateToZones(now);
      pushRefuted(now);
    }
    SessionLog.Batch unread = sessions.after(instance.sessionsUpTo(), now);
    StateReport others = aggregator.sumExcept(from.process(), now);
    return new PeerMessage.FleetAccount(
        others,
        unread.sessions(),
        unread.upTo(),
        hasSessionRecords(),
        ledger.after(instance.crashesUpTo()));
  }

  private PeerMessage acceptZone(Member from, PeerMessage.ZoneAccount zone) {
    if (!from.zone().equals(membership.self().zone())) {
      // The other zone skips a collector that it cannot reach, but this zone still reports to it.
      collectors.ofOwnZone().ifPresent(peer -> forward(peer, zone));
    }
    Instant now = clock.instant();
    aggregator.putZone(zone.zone(), zone.account(), now);
    sessions.add(zone.seen(), false, now);
    crashReplication.mergePushed(from, zone.crashes());
    if (zone.account().refuted() > pushedRefuted) {
      pushRefuted(now);
    }
    return new PeerMessage.Done();
  }

  private void forward(Member peer, PeerMessage.ZoneAccount zone) {
    network
        .sendRequest(peer, zone, TIMEOUT)
        .subscribe()
        .with(response -> {}, failure -> sendFailed(peer, failure));
  }

  private boolean isValid(Member from, StateReport report) {
    Optional<String> problem =
        report == null ? Optional.of("the report is missing") : report.problem();
    problem.ifPresent(
        reason -> {
          meters.count("peer.account-refused");
          logger.atWarning().atMostEvery(REJECTION_LOG_SECONDS, TimeUnit.SECONDS).log(
              "rejected the report of %s: %s", from.name(), reason);
        });
    return problem.isEmpty();
  }

  private static PeerMessage rejection() {
    return new PeerMessage.Failed("the report is rejected");
  }
}
