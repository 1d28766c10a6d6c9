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
import org.oatlug.gateway.ServiceRollout;
import org.oatlug.gateway.ServiceRollout.State;
import org.oatlug.internal.gateway.VersionBasis.Knowledge;
import org.oatlug.internal.gather.SeenSession;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.rollout.OrderAge;
import org.oatlug.internal.rollout.RolloutGuard;
import org.oatlug.internal.rollout.VersionEvidence;
import org.oatlug.internal.util.BoundedMap;
import org.oatlug.internal.util.Hashes;
import org.oatlug.internal.util.TickSystem;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreRevision;

/**
 * Moves the traffic of services to new versions, and back if they are bad.
 *
 * <p>Each instance gives the new version its share of the sessions, keeps sessions on their
 * version, and compares the answers of both versions; what all others saw is added to that. The
 * instance that has the duty for a roll-out writes the progress by a conditional update; an end
 * that was written is never changed. Invariants: a version that is known to be bad receives nothing
 * more from this instance; a session that was seen on the old version stays there during the first
 * half. Owned by one event loop, not thread-safe.
 */
public final class RolloutDirector implements VersionRule, TickSystem {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How often duties are done. */
  private static final Duration INTERVAL = Duration.ofMillis(250);

  /** Fewer answers than this show nothing; a version that had fewer is not taken over. */
  private static final long LEAST_ANSWERS = 20;

  /** From this evidence on, a failed request goes to the old version. */
  private static final double SUSPICIOUS = 1;

  /** Of trials that ended the last ones are kept: a restored store may show their orders again. */
  private static final int MOST_TRIALS = 256;

  /** The number of hashes without a sign. */
  private static final double HASH_RANGE = Math.pow(2, 63);

  private final GatewayTables tables;
  private final RolloutWriter writer;
  private final Membership membership;
  private final InstantSource clock;
  private final Meters meters;
  private final RolloutSchedule schedule;
  private final KeptSessions sessions;
  private final Map<TrialKey, RolloutTrial> trials = BoundedMap.ofMost(MOST_TRIALS);
  private Runnable onRefuted = () -> {};
  private Instant next = Instant.EPOCH;

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
    this.schedule = RolloutSchedule.within(bounds.exposureShare());
    this.sessions = KeptSessions.withPause(bounds.session(), this::movesAtOnce);
  }

  /** Returns a director that has seen nothing yet. */
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
  public Optional<Wish> wishFor(String service, RequestHead head, Tried tried) {
    Optional<ServiceRollout> rollout = tables.rollout(service);
    if (rollout.isEmpty()) {
      return Optional.empty();
    }
    String target = rollout.get().targetVersion();
    Optional<State> state = rollout.get().state();
    if (state.equals(Optional.of(State.SUCCEEDED))) {
      return Optional.of(new Wish(target, true, Firmness.PREFERRED, Optional.empty()));
    }
    RolloutTrial trial = trialOf(service, rollout.get());
    if (state.equals(Optional.of(State.ROLLED_BACK)) || trial.isRefuted()) {
      return Optional.of(new Wish(target, false, Firmness.REQUIRED, Optional.empty()));
    }
    return Optional.of(wishWhileRunning(service, rollout.get(), trial, head, tried));
  }

  private Wish wishWhileRunning(
      String service, ServiceRollout rollout, RolloutTrial trial, RequestHead head, Tried tried) {
    VersionBasis now = basisOf(service, rollout, trial, head);
    // An attempt of the request itself makes its session known, but not one that goes on.
    VersionBasis basis = tried.basis().map(now::knownAsIn).orElse(now);
    String target = rollout.targetVersion();
    boolean failedThere = tried.failedVersion().equals(Optional.of(target));
    return new VersionChoice(
            target,
            basis,
            positionOf(basis.session().orElse(Hashes.hash64(head.id()))) < basis.share(),
            failedThere && trial.allEvidence() > SUSPICIOUS,
            schedule.isSettling(ageOf(rollout, trial)),
            schedule.sessionsMayMove(basis.part()))
        .wish();
  }

  private VersionBasis basisOf(
      String service, ServiceRollout rollout, RolloutTrial trial, RequestHead head) {
    OptionalLong session = SessionVersions.sessionOf(head);
    double part = partOf(rollout, trial);
    double share = schedule.shareAt(part);
    if (session.isEmpty()) {
      return new VersionBasis(session, Knowledge.NO_SESSION, "", 0, part, share);
    }
    Instant now = clock.instant();
    Optional<SessionVersions.Seen> seen = sessions.of(service).lastOf(session.getAsLong(), now);
    if (seen.isEmpty()) {
      return new VersionBasis(session, Knowledge.UNKNOWN, "", 0, part, share);
    }
    Knowledge knowledge = seen.get().here() ? Knowledge.SEEN_HERE : Knowledge.TOLD;
    long age = Duration.between(seen.get().at(), now).toMillis();
    return new VersionBasis(session, knowledge, seen.get().version(), age, part, share);
  }

  private static double positionOf(long number) {
    return (Hashes.combine(number, 0) & Long.MAX_VALUE) / HASH_RANGE;
  }

  /** Returns which part of its duration the roll-out has used; above 1 when it is late. */
  private double partOf(ServiceRollout rollout, RolloutTrial trial) {
    long age = ageOf(rollout, trial).toMillis();
    return (double) age / Math.max(1, rollout.durationMillis());
  }

  private Duration ageOf(ServiceRollout rollout, RolloutTrial trial) {
    return trial.age().at(clock.instant(), rollout.begunAtMillis());
  }

  @Override
  public void sent(String service, String version, RequestHead head) {
    SessionVersions.sessionOf(head).ifPresent(session -> noteSeen(service, version, session));
  }

  private void noteSeen(String service, String version, long session) {
    Instant now = clock.instant();
    SessionVersions seen = sessions.of(service);
    tables
        .rollout(service)
        .filter(ServiceRollout::runs)
        .flatMap(rollout -> seen.lastOf(session, now))
        .filter(before -> !before.version().equals(version))
        .ifPresent(before -> countMove(service, version));
    sessions.seen(service, session, version, now);
  }

  /** Counts a session that goes on at another version than before. */
  private void countMove(String service, String version) {
    ServiceRollout rollout = tables.rollout(service).orElseThrow();
    boolean toTarget = version.equals(rollout.targetVersion());
    boolean early = !schedule.sessionsMayMove(partOf(rollout, trialOf(service, rollout)));
    meters.count(
        toTarget ? early ? "session.moved-early" : "session.moved-to-new" : "session.moved-back");
  }

  @Override
  public void answered(Answer answer) {
    judge(answer.service(), trial -> trial.add(answer, clock.instant()));
  }

  @Override
  public void paced(Pace pace) {
    judge(pace.service(), trial -> trial.add(pace, clock.instant()));
  }

  private void judge(String service, Consumer<RolloutTrial> judgement) {
    Optional<RolloutTrial> running = runningTrial(service).filter(trial -> !trial.isRefuted());
    running.ifPresent(judgement);
    if (running.filter(RolloutTrial::isRefuted).isPresent()) {
      RolloutTrial trial = running.get();
      meters.count("rollout.halted-here");
      logger.atWarning().log(
          "version %s of %s is refuted here, evidence=%.1f answers=%d",
          trial.version(), service, trial.ownEvidence(), trial.ownAnswers());
      onRefuted.run();
    }
  }

  /** Sets what is done at once when a version turns out to be bad. */
  public void onRefuted(Runnable action) {
    onRefuted = action;
  }

  /** Returns whether it is known how long ago the versions were ordered that are brought in. */
  public boolean knowsAges() {
    return tables.servicesWithRollout().stream()
        .flatMap(service -> runningTrial(service).stream())
        .allMatch(trial -> trial.age().isKnown());
  }

  @Override
  public List<RolloutStatus> status() {
    List<RolloutStatus> all = new ArrayList<>();
    for (String service : tables.servicesWithRollout()) {
      ServiceRollout rollout = tables.rollout(service).orElseThrow();
      if (rollout.runs()) {
        all.add(statusOf(service, rollout, trialOf(service, rollout)));
      }
    }
    return all;
  }

  private RolloutStatus statusOf(String service, ServiceRollout rollout, RolloutTrial trial) {
    double part = partOf(rollout, trial);
    return new RolloutStatus(
        service,
        trial.version(),
        part,
        schedule.shareAt(part),
        trial.allEvidence(),
        trial.allAnswers(),
        trial.isRefuted());
  }

  /** Returns what this instance has seen of versions that are brought in. */
  public List<VersionEvidence> evidence() {
    List<VersionEvidence> seen = new ArrayList<>();
    for (String service : tables.servicesWithRollout()) {
      runningTrial(service).ifPresent(trial -> seen.add(evidenceOf(service, trial)));
    }
    return seen;
  }

  private VersionEvidence evidenceOf(String service, RolloutTrial trial) {
    return new VersionEvidence(
        service,
        trial.version(),
        trial.orderedAt(),
        trial.ownSeen(),
        trial.ownAnswers(),
        trial.isRefuted(),
        trial.age().told(clock.instant()));
  }

  /** Takes in what all other instances have seen. */
  public void heard(VersionEvidence others) {
    runningTrial(others.service())
        .filter(trial -> trial.isOf(others.version(), others.orderedAt()))
        .ifPresent(trial -> heard(trial, others));
  }

  private void heard(RolloutTrial trial, VersionEvidence others) {
    trial.heard(others, clock.instant());
    if (trial.isRefuted()) {
      return;
    }
    if (others.refuted()) {
      trial.refute();
      logger.atWarning().log(
          "version %s of %s is refuted elsewhere", trial.version(), others.service());
    } else if (RolloutGuard.refutesTogether(trial.allEvidence())) {
      trial.refute();
      logger.atWarning().log(
          "version %s of %s is refuted by all together, evidence=%.1f answers=%d",
          trial.version(), others.service(), trial.allEvidence(), trial.allAnswers());
      onRefuted.run();
    }
  }

  /** Returns the sessions that others have to know of, those seen here since the last call. */
  public List<SeenSession> newlySeen() {
    return sessions.toTell(clock.instant());
  }

  /** Returns all such sessions seen here that count still. */
  public List<SeenSession> seenHere() {
    return sessions.all(clock.instant(), SessionVersions.Seen::here);
  }

  /** Returns all such sessions that count still, those that others told of included. */
  public List<SeenSession> allSeen() {
    return sessions.all(clock.instant(), seen -> true);
  }

  private boolean movesAtOnce(long session) {
    return positionOf(session) < schedule.shareAt(0);
  }

  /** Takes in a session that another instance has seen. */
  public void heardSession(SeenSession session) {
    sessions.heard(session, clock.instant());
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(next)) {
      return;
    }
    next = now.plus(INTERVAL);
    for (String service : tables.servicesWithRollout()) {
      ServiceRollout rollout = tables.rollout(service).orElseThrow();
      Optional<RolloutTrial> trial = runningTrial(service);
      if (!hasDuty(service)) {
        continue;
      }
      if (tables.isRolloutRetained(service)) {
        writeAgain(service, rollout);
      } else {
        trial.ifPresent(running -> direct(service, rollout, running));
      }
    }
  }

  /** Writes what a roll-out had reached when the store was restored from an earlier copy. */
  private void writeAgain(String service, ServiceRollout rollout) {
    Optional<StoreRevision> replaced = writer.write(service, rollout);
    if (replaced.isPresent()) {
      logger.atInfo().log(
          "roll-out of %s to %s: %s is written again after a restore, revision=%s",
          service, rollout.targetVersion(), rollout.state(), replaced.get());
    }
  }

  private boolean hasDuty(String service) {
    return membership.ownerOf("rollout-" + service).map(membership::isSelf).orElse(true);
  }

  private void direct(String service, ServiceRollout rollout, RolloutTrial trial) {
    if (trial.isRefuted() || RolloutGuard.refutesTogether(trial.allEvidence())) {
      trial.refute();
      write(service, rollout, trial, State.ROLLED_BACK);
      return;
    }
    if (schedule.isDue(partOf(rollout, trial))) {
      boolean shown = trial.allAnswers() >= LEAST_ANSWERS;
      write(service, rollout, trial, shown ? State.SUCCEEDED : State.ROLLED_BACK);
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
          "roll-out of %s to %s: %s, evidence=%.1f answers=%d part=%.2f revision=%s",
          service,
          rollout.targetVersion(),
          state,
          trial.allEvidence(),
          trial.allAnswers(),
          partOf(rollout, trial),
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
    RolloutTrial known = trials.get(key);
    if (known == null || !known.continuesAs(rollout.targetVersion(), rollout.orderedAt())) {
      OrderAge age = OrderAge.learned(clock.instant(), rollout.state().isEmpty());
      known = RolloutTrial.of(rollout.targetVersion(), rollout.orderedAt(), age);
      trials.put(key, known);
    }
    return known;
  }
}
