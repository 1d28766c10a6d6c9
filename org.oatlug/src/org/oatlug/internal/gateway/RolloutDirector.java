// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.RouteKind;
import org.oatlug.gateway.ServiceRollout;
import org.oatlug.gateway.ServiceRollout.State;
import org.oatlug.internal.gateway.VersionDecisionInputs.Knowledge;
import org.oatlug.internal.gather.SessionObservation;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.rollout.OrderAge;
import org.oatlug.internal.rollout.RecentOutcomes;
import org.oatlug.internal.rollout.RolloutGuard;
import org.oatlug.internal.rollout.VersionEvidence;
import org.oatlug.internal.util.BoundedMap;
import org.oatlug.internal.util.Hashes;
import org.oatlug.internal.util.TickSystem;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreRevision;

/**
 * Moves the traffic of services to new versions, and rolls back bad versions.
 *
 * <p>Each instance assigns the new version its share of the sessions, keeps sessions on their
 * version, and compares the answers of both versions; the evidence of all other instances is added.
 * The instance that owns a roll-out writes its progress by a conditional update; a final state that
 * was written is never changed. Invariants: a version that is known to be bad receives no more
 * requests from this instance; its share rises only while the evidence of most instances is known;
 * a session that was seen on the old version stays there during the first half of the duration.
 * Owned by one event loop, not thread-safe.
 */
public final class RolloutDirector implements VersionRule, TickSystem {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The interval at which owned roll-outs are advanced. */
  private static final Duration ADVANCE_INTERVAL = Duration.ofMillis(250);

  /** The minimum number of answers for a decision; a version with fewer is rolled back. */
  private static final long MINIMUM_ANSWERS = 20;

  /** The logarithm of the evidence above which a failed request is retried on the old version. */
  private static final double SUSPICIOUS_EVIDENCE = 1;

  /** The maximum number of trials; ended ones are kept, as a restored store may repeat orders. */
  private static final int MAXIMUM_TRIALS = 256;

  /** The number of non-negative hashes. */
  private static final double HASH_RANGE = Math.pow(2, 63);

  private final GatewayTables tables;
  private final RolloutWriter writer;
  private final Membership membership;
  private final InstantSource clock;
  private final Meters meters;
  private final RolloutSchedule schedule;
  private final SessionVersionCache sessions;
  private final Map<TrialKey, RolloutTrial> trials = BoundedMap.withMaximumSize(MAXIMUM_TRIALS);
  private final RecentOutcomes recentOutcomes;
  private Runnable onRefuted = () -> {};
  private Instant nextTick = Instant.EPOCH;

  private record TrialKey(String service, String version) {}

  private RolloutDirector(
      GatewayTables tables,
      Platform platform,
      Membership membership,
      InstantSource clock,
      Meters meters,
      GatewaySettings.Bounds bounds) {
    this.tables = tables;
    this.writer = RolloutWriter.create(tables, platform, meters);
    this.membership = membership;
    this.clock = clock;
    this.meters = meters;
    this.recentOutcomes = RecentOutcomes.create(clock);
    this.schedule = RolloutSchedule.withExposureBound(bounds.exposureShare());
    this.sessions = SessionVersionCache.withPause(bounds.session(), this::movesImmediately);
  }

  /** Returns a director that has no sessions and no evidence yet. */
  public static RolloutDirector create(
      GatewayTables tables,
      Platform platform,
      Membership membership,
      InstantSource clock,
      Meters meters,
      GatewaySettings.Bounds bounds) {
    return new RolloutDirector(tables, platform, membership, clock, meters, bounds);
  }

  @Override
  public Optional<VersionPreference> preferenceFor(
      String service, Route route, RequestHead head, PriorAttempts priorAttempts) {
    Optional<ServiceRollout> rollout = tables.rollout(service);
    if (rollout.isEmpty()) {
      return Optional.empty();
    }
    String target = rollout.get().targetVersion();
    Optional<State> state = rollout.get().state();
    if (state.equals(Optional.of(State.SUCCEEDED))) {
      return Optional.of(new VersionPreference(target, true, Firmness.PREFERRED, Optional.empty()));
    }
    RolloutTrial trial = trialOf(service, rollout.get());
    if (state.equals(Optional.of(State.ROLLED_BACK)) || trial.isRefuted()) {
      return Optional.of(new VersionPreference(target, false, Firmness.REQUIRED, Optional.empty()));
    }
    return Optional.of(preferenceWhileRunning(rollout.get(), trial, route, head, priorAttempts));
  }

  private VersionPreference preferenceWhileRunning(
      ServiceRollout rollout,
      RolloutTrial trial,
      Route route,
      RequestHead head,
      PriorAttempts priorAttempts) {
    VersionDecisionInputs current = inputsOf(rollout, trial, route, head);
    // An earlier attempt of this request records its session, which does not make it a known one.
    VersionDecisionInputs inputs =
        priorAttempts.inputs().map(current::withKnowledgeOf).orElse(current);
    String target = rollout.targetVersion();
    boolean failedOnTarget = priorAttempts.failedVersion().equals(Optional.of(target));
    return new VersionChoice(
            target,
            inputs,
            hashFraction(inputs.session().orElse(Hashes.hash64(head.id()))) < inputs.share(),
            failedOnTarget && trial.totalEvidence() > SUSPICIOUS_EVIDENCE,
            schedule.isSettling(ageOf(rollout, trial)),
            schedule.sessionsMayMove(inputs.part()))
        .preference();
  }

  private VersionDecisionInputs inputsOf(
      ServiceRollout rollout, RolloutTrial trial, Route route, RequestHead head) {
    OptionalLong session = SessionVersions.sessionHash(head);
    double elapsedFraction = elapsedFraction(rollout, trial);
    if (session.isEmpty() && route.kind() != RouteKind.STREAM) {
      return new VersionDecisionInputs(
          session,
          Knowledge.NO_SESSION,
          "",
          0,
          elapsedFraction,
          independentShareAt(elapsedFraction, trial, route));
    }
    double share = shareAt(elapsedFraction, trial);
    if (session.isEmpty()) {
      return new VersionDecisionInputs(
          session, Knowledge.NO_SESSION, "", 0, elapsedFraction, share);
    }
    Instant now = clock.instant();
    Optional<SessionVersions.Observation> lastSeen =
        sessions.of(rollout.service()).lastObservation(session.getAsLong(), now);
    if (lastSeen.isEmpty()) {
      return new VersionDecisionInputs(session, Knowledge.UNKNOWN, "", 0, elapsedFraction, share);
    }
    Knowledge knowledge = lastSeen.get().isLocal() ? Knowledge.SEEN_HERE : Knowledge.TOLD;
    long age = Duration.between(lastSeen.get().at(), now).toMillis();
    return new VersionDecisionInputs(
        session, knowledge, lastSeen.get().version(), age, elapsedFraction, share);
  }

  /** Returns the share of sessions that the version under roll-out receives from this instance. */
  private double shareAt(double elapsedFraction, RolloutTrial trial) {
    boolean mayRise = isInformed(trial) && !isSuspicious(trial) && trial.isLikelyGood();
    return trial.updateShare(schedule.shareAt(0), schedule.shareAt(elapsedFraction), mayRise);
  }

  /** Returns the share of the requests without a session on a route. */
  private double independentShareAt(double elapsedFraction, RolloutTrial trial, Route route) {
    boolean mayRise = isInformed(trial) && !isSuspicious(trial);
    return trial.independentShare(route.name(), elapsedFraction, mayRise);
  }

  /** Returns whether the answers speak against the version, though not enough to refute it. */
  private boolean isSuspicious(RolloutTrial trial) {
    boolean wasSuspicious = trial.isSuspicious();
    boolean suspicious = trial.updateSuspicious(clock.instant());
    if (suspicious != wasSuspicious) {
      meters.count(suspicious ? "rollout.suspicious" : "rollout.cleared");
      logger.atInfo().log(
          "roll-out to %s: its answers are %s, evidence=%.1f failures=%.1f lateness=%.1f"
              + " pairs=%s answers=%d",
          trial.version(),
          suspicious ? "suspicious, its share falls" : "no longer suspicious",
          trial.totalEvidence(),
          trial.outcomeEvidence(),
          trial.latenessEvidence(),
          trial.totalPairs(),
          trial.totalAnswers());
    }
    return suspicious;
  }

  /** Returns whether the evidence of most instances is known to this one. */
  private boolean isInformed(RolloutTrial trial) {
    boolean wasInformed = trial.isInformed();
    boolean informed = trial.updateInformed(membership.live().size(), clock.instant());
    if (informed != wasInformed) {
      meters.count(informed ? "rollout.informed" : "rollout.uninformed");
      logger.atInfo().log(
          "roll-out to %s: the evidence of most instances is %s",
          trial.version(), informed ? "known" : "unknown, its share does not rise");
    }
    return informed;
  }

  private static double hashFraction(long hash) {
    return (Hashes.combine(hash, 0) & Long.MAX_VALUE) / HASH_RANGE;
  }

  /** Returns the elapsed fraction of the duration of the roll-out; above 1 once it is overdue. */
  private double elapsedFraction(ServiceRollout rollout, RolloutTrial trial) {
    long age = ageOf(rollout, trial).toMillis();
    return (double) age / Math.max(1, rollout.durationMillis());
  }

  private Duration ageOf(ServiceRollout rollout, RolloutTrial trial) {
    return trial.age().at(clock.instant(), rollout.begunAtMillis());
  }

  @Override
  public void recordSent(String service, String version, RequestHead head) {
    SessionVersions.sessionHash(head)
        .ifPresent(session -> recordSession(service, version, session));
  }

  private void recordSession(String service, String version, long session) {
    Instant now = clock.instant();
    SessionVersions serviceSessions = sessions.of(service);
    tables
        .rollout(service)
        .filter(ServiceRollout::runs)
        .flatMap(rollout -> serviceSessions.lastObservation(session, now))
        .filter(previous -> !previous.version().equals(version))
        .ifPresent(previous -> countMove(service, version));
    sessions.recordLocal(service, session, version, now);
  }

  /** Counts a session that continues on another version. */
  private void countMove(String service, String version) {
    ServiceRollout rollout = tables.rollout(service).orElseThrow();
    boolean toTarget = version.equals(rollout.targetVersion());
    boolean early = !schedule.sessionsMayMove(elapsedFraction(rollout, trialOf(service, rollout)));
    meters.count(
        toTarget ? early ? "session.moved-early" : "session.moved-to-new" : "session.moved-back");
  }

  @Override
  public void recordResponse(Response answer) {
    recordRecent(answer);
    updateTrial(answer.service(), trial -> trial.add(answer, clock.instant()));
  }

  /** Records a response of a version that is neither under roll-out nor rolled back. */
  private void recordRecent(Response answer) {
    boolean accepted =
        tables
            .rollout(answer.service())
            .filter(rollout -> rollout.targetVersion().equals(answer.version()))
            .map(rollout -> rollout.state().equals(Optional.of(State.SUCCEEDED)))
            .orElse(true);
    if (accepted) {
      recentOutcomes.add(answer.service(), answer.route().name(), answer.failed());
    }
  }

  @Override
  public void recordUnanswered(Response request) {
    updateTrial(request.service(), trial -> trial.addUnanswered(request, clock.instant()));
  }

  @Override
  public void recordEventInterval(EventInterval interval) {
    updateTrial(interval.service(), trial -> trial.add(interval, clock.instant()));
  }

  private void updateTrial(String service, Consumer<RolloutTrial> update) {
    Optional<RolloutTrial> running = runningTrial(service).filter(trial -> !trial.isRefuted());
    running.ifPresent(update);
    if (running.filter(RolloutTrial::isRefuted).isPresent()) {
      RolloutTrial trial = running.get();
      meters.count("rollout.halted-here");
      logger.atWarning().log(
          "version %s of %s is refuted by local evidence, evidence=%.1f answers=%d",
          trial.version(), service, trial.localEvidence(), trial.localAnswers());
      onRefuted.run();
    }
  }

  /**
   * Sets the action that runs when an answer seen here, or the added evidence of other instances,
   * refutes a version. It does not run when another instance reports the version as refuted.
   */
  public void onRefuted(Runnable action) {
    onRefuted = action;
  }

  /** Returns whether the age of the order is known for every running roll-out. */
  public boolean knowsOrderAges() {
    return tables.servicesWithRollout().stream()
        .flatMap(service -> runningTrial(service).stream())
        .allMatch(trial -> trial.age().isKnown());
  }

  @Override
  public List<RolloutStatus> status() {
    List<RolloutStatus> statuses = new ArrayList<>();
    for (String service : tables.servicesWithRollout()) {
      ServiceRollout rollout = tables.rollout(service).orElseThrow();
      if (rollout.runs()) {
        statuses.add(statusOf(service, rollout, trialOf(service, rollout)));
      }
    }
    return statuses;
  }

  private RolloutStatus statusOf(String service, ServiceRollout rollout, RolloutTrial trial) {
    double elapsedFraction = elapsedFraction(rollout, trial);
    return new RolloutStatus(
        service,
        trial.version(),
        elapsedFraction,
        shareAt(elapsedFraction, trial),
        trial.totalEvidence(),
        trial.totalAnswers(),
        trial.isRefuted());
  }

  /** Returns the evidence of this instance about versions under roll-out. */
  public List<VersionEvidence> evidence() {
    List<VersionEvidence> evidence = new ArrayList<>();
    for (String service : tables.servicesWithRollout()) {
      runningTrial(service).ifPresent(trial -> evidence.add(evidenceOf(service, trial)));
    }
    return evidence;
  }

  private VersionEvidence evidenceOf(String service, RolloutTrial trial) {
    return new VersionEvidence(
        service,
        trial.version(),
        trial.orderedAt(),
        trial.localPairs(),
        trial.localAnswers(),
        trial.isRefuted(),
        trial.age().reportedMillis(clock.instant()),
        1,
        trial.localOutcomes(),
        trial.localLateness());
  }

  /** Adds the evidence of all other instances. */
  public void applyReported(VersionEvidence remote) {
    runningTrial(remote.service())
        .filter(trial -> trial.matches(remote.version(), remote.orderedAt()))
        .ifPresent(trial -> addRemoteEvidence(trial, remote));
  }

  private void addRemoteEvidence(RolloutTrial trial, VersionEvidence remote) {
    trial.addRemoteEvidence(remote, clock.instant());
    if (trial.isRefuted()) {
      return;
    }
    if (remote.refuted()) {
      trial.refute();
      logger.atWarning().log(
          "version %s of %s is refuted by another instance", trial.version(), remote.service());
    } else if (RolloutGuard.sufficesForGlobalHalt(trial.totalEvidence())) {
      trial.refute();
      logger.atWarning().log(
          "version %s of %s is refuted by the evidence of all instances, evidence=%.1f answers=%d",
          trial.version(), remote.service(), trial.totalEvidence(), trial.totalAnswers());
      onRefuted.run();
    }
  }

  /** Returns the sessions to replicate that were seen here since the last call. */
  public List<SessionObservation> drainPendingSessions() {
    return sessions.drainPending(clock.instant());
  }

  /** Returns all unexpired sessions to replicate that were seen here. */
  public List<SessionObservation> localSessions() {
    return sessions.matching(clock.instant(), SessionVersions.Observation::isLocal);
  }

  /** Returns all unexpired sessions to replicate, including those of other instances. */
  public List<SessionObservation> knownSessions() {
    return sessions.matching(clock.instant(), observation -> true);
  }

  private boolean movesImmediately(long session) {
    return hashFraction(session) < schedule.shareAt(0);
  }

  /** Records a session that another instance has seen. */
  public void applyReportedSession(SessionObservation session) {
    sessions.recordRemote(session, clock.instant());
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(nextTick)) {
      return;
    }
    nextTick = now.plus(ADVANCE_INTERVAL);
    for (String service : tables.servicesWithRollout()) {
      ServiceRollout rollout = tables.rollout(service).orElseThrow();
      Optional<RolloutTrial> trial = runningTrial(service);
      if (!isOwner(service)) {
        continue;
      }
      if (tables.isRolloutRetained(service)) {
        rewrite(service, rollout);
      } else {
        trial.ifPresent(running -> advance(service, rollout, running));
      }
    }
  }

  /** Rewrites the progress of a roll-out that was lost when the store was restored from a copy. */
  private void rewrite(String service, ServiceRollout rollout) {
    Optional<StoreRevision> replaced = writer.write(service, rollout);
    if (replaced.isPresent()) {
      logger.atInfo().log(
          "roll-out of %s to %s: %s is rewritten after a restore of the store, revision=%s",
          service, rollout.targetVersion(), rollout.state(), replaced.get());
    }
  }

  private boolean isOwner(String service) {
    return membership.ownerOf("rollout-" + service).map(membership::isSelf).orElse(true);
  }

  private void advance(String service, ServiceRollout rollout, RolloutTrial trial) {
    if (trial.isRefuted() || RolloutGuard.sufficesForGlobalHalt(trial.totalEvidence())) {
      trial.refute();
      write(service, rollout, trial, State.ROLLED_BACK);
      return;
    }
    boolean suspicious = isSuspicious(trial);
    boolean certain = isInformed(trial) && !suspicious && !trial.needsMoreResponses();
    if (schedule.isDecisionDue(elapsedFraction(rollout, trial), certain)) {
      boolean good = trial.totalAnswers() >= MINIMUM_ANSWERS && !suspicious && trial.isLikelyGood();
      write(service, rollout, trial, good ? State.SUCCEEDED : State.ROLLED_BACK);
    } else if (rollout.state().isEmpty()) {
      write(service, rollout, trial, State.RUNNING);
    }
  }

  private void write(String service, ServiceRollout rollout, RolloutTrial trial, State state) {
    long started = rollout.begunAtMillis().orElse(trial.age().orderedAt().toEpochMilli());
    ServiceRollout.Progress progress =
        new ServiceRollout.Progress(state, rollout.targetVersion(), started);
    Optional<StoreRevision> replaced = writer.write(service, rollout.withProgress(progress));
    if (replaced.isPresent()) {
      logger.atInfo().log(
          "roll-out of %s to %s: %s, evidence=%.1f failures=%.1f lateness=%.1f answers=%d"
              + " part=%.2f revision=%s",
          service,
          rollout.targetVersion(),
          state,
          trial.totalEvidence(),
          trial.outcomeEvidence(),
          trial.latenessEvidence(),
          trial.totalAnswers(),
          elapsedFraction(rollout, trial),
          replaced.get());
    }
  }

  private Optional<RolloutTrial> runningTrial(String service) {
    return tables
        .rollout(service)
        .filter(ServiceRollout::runs)
        .map(rollout -> trialOf(service, rollout));
  }

  private RolloutTrial trialOf(String service, ServiceRollout rollout) {
    TrialKey key = new TrialKey(service, rollout.targetVersion());
    RolloutTrial trial = trials.get(key);
    if (trial == null || !trial.adoptOrder(rollout.targetVersion(), rollout.orderedAt())) {
      OrderAge age = OrderAge.firstRead(clock.instant(), rollout.state().isEmpty());
      trial =
          RolloutTrial.of(
              rollout.targetVersion(),
              rollout.orderedAt(),
              age,
              Duration.ofMillis(rollout.durationMillis()),
              schedule,
              recentOutcomes.of(service));
      trials.put(key, trial);
    }
    return trial;
  }
}
