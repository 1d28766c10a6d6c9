// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oatlug.api.ObjectKey;
import org.oatlug.api.VersionState;
import org.oatlug.config.Kinds;
import org.oatlug.config.Rollout;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;
import org.oatlug.internal.table.Tables;
import org.oatlug.internal.util.Json;
import org.oatlug.internal.util.TickSystem;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoredObject;

/**
 * Halts roll-outs whose candidate is worse than the current version.
 *
 * <p>An instance halts its own share on its own evidence. All instances send their evidence to the
 * owner of the roll-out, which adds the logarithms, as the wealths of independent sequential tests
 * multiply, and halts the roll-out at all instances by a conditional update. The wealth of a test
 * is the factor by which its bets against the candidate have multiplied an initial 1, see {@link
 * SequentialTest}. An update that conflicts with one of an operator is retried only after the
 * operator's object was read. A halted roll-out stays halted until an operator changes it. Owned by
 * one event loop, not thread-safe.
 */
public final class RolloutGuard implements TickSystem {
  /** Bound on the probability that all instances together ever halt a good candidate. */
  static final double MAXIMUM_FALSE_GLOBAL_HALT_PROBABILITY = 0.004;

  /** Bound on the probability that one instance ever halts its share of a good candidate. */
  static final double MAXIMUM_FALSE_LOCAL_HALT_PROBABILITY = 0.0005;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration INTERVAL = Duration.ofMillis(1000);
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);

  private final Tables tables;
  private final Platform platform;
  private final Membership membership;
  private final PeerNetwork network;
  private final InstantSource clock;
  private final Meters meters;
  private final Map<String, CandidateEvidence> evidenceByCandidate = new HashMap<>();
  private final Map<String, Map<String, Double>> peerEvidence = new HashMap<>();
  private Instant nextTick = Instant.EPOCH;

  private RolloutGuard(
      Tables tables,
      Platform platform,
      Membership membership,
      PeerNetwork network,
      InstantSource clock,
      Meters meters) {
    this.tables = tables;
    this.platform = platform;
    this.membership = membership;
    this.network = network;
    this.clock = clock;
    this.meters = meters;
  }

  /** Returns a guard without evidence. */
  public static RolloutGuard create(
      Tables tables,
      Platform platform,
      Membership membership,
      PeerNetwork network,
      InstantSource clock,
      Meters meters) {
    return new RolloutGuard(tables, platform, membership, network, clock, meters);
  }

  /** Measure by which versions are compared, each with its own sequential test. */
  public enum Measure {
    ERRORS,
    RATINGS
  }

  /** Returns whether the evidence of one instance suffices for it to halt its own share. */
  public static boolean sufficesForLocalHalt(double logEvidence) {
    return logEvidence >= -Math.log(MAXIMUM_FALSE_LOCAL_HALT_PROBABILITY);
  }

  /** Returns whether the summed evidence of all instances suffices to halt the roll-out. */
  public static boolean sufficesForGlobalHalt(double logEvidence) {
    return logEvidence >= -Math.log(MAXIMUM_FALSE_GLOBAL_HALT_PROBABILITY);
  }

  /** Returns whether the evidence is half of what suffices to halt the roll-out everywhere. */
  public static boolean isSuspicious(double logEvidence) {
    return logEvidence >= -Math.log(MAXIMUM_FALSE_GLOBAL_HALT_PROBABILITY) / 2;
  }

  /** Records an outcome of a version; outcomes outside a running roll-out are ignored. */
  public void recordOutcome(String model, String version, Measure measure, boolean failed) {
    Optional<Rollout> rollout = running(model);
    if (rollout.isEmpty()) {
      return;
    }
    String candidate = rollout.get().candidate();
    boolean isCandidate = version.equals(candidate);
    boolean isCurrent = tables.catalogue().currentVersion(model).equals(Optional.of(version));
    if (!isCandidate && !isCurrent) {
      return;
    }
    CandidateEvidence candidateEvidence = ownEvidence(candidate);
    candidateEvidence.add(measure, isCandidate, failed);
    if (candidateEvidence.sufficesForLocalHalt() && tables.locallyHalted().add(candidate)) {
      meters.count("rollout.halted-here");
      logger.atWarning().log(
          "candidate %s is worse: this instance assigns it no sessions", candidate);
    }
  }

  /** Stores the evidence of another instance; it replaces what that instance sent before. */
  public void handle(Member from, PeerMessage.GuardEvidence message) {
    peerEvidence
        .computeIfAbsent(message.candidate(), unused -> new HashMap<>())
        .put(from.process(), message.logEvidence());
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(nextTick)) {
      return;
    }
    nextTick = now.plus(INTERVAL);
    for (String name : tables.catalogue().names(Kinds.ROLLOUT)) {
      rolloutOf(name)
          .filter(rollout -> rollout.state() == Rollout.State.RUNNING)
          .ifPresent(rollout -> shareEvidence(name, rollout));
    }
  }

  private void shareEvidence(String name, Rollout rollout) {
    double ownLogEvidence = ownEvidence(rollout.candidate()).logEvidence();
    Optional<Member> owner = membership.ownerOf("rollout-" + name);
    if (owner.isEmpty() || membership.isSelf(owner.get())) {
      haltIfRefuted(name, rollout, ownLogEvidence);
      return;
    }
    PeerMessage message = new PeerMessage.GuardEvidence(rollout.candidate(), ownLogEvidence);
    network
        .sendRequest(owner.get(), message, REQUEST_TIMEOUT)
        .subscribe()
        .with(answer -> {}, failure -> {});
  }

  private void haltIfRefuted(String name, Rollout rollout, double ownLogEvidence) {
    double sum = ownLogEvidence;
    for (double peerLogEvidence :
        peerEvidence.getOrDefault(rollout.candidate(), Map.of()).values()) {
      sum += peerLogEvidence;
    }
    if (sufficesForGlobalHalt(sum)) {
      halt(name);
    }
  }

  private void halt(String name) {
    ObjectKey key = ObjectKey.valueOf(Kinds.ROLLOUT, name);
    Optional<StoredObject> stored = tables.catalogue().join().get(key);
    Optional<Rollout> rollout = rolloutOf(name);
    if (stored.isEmpty() || rollout.isEmpty()) {
      return;
    }
    JsonNode value = Json.STRICT.valueToTree(rollout.get().withState(Rollout.State.HALTED));
    meters.count("rollout.halt");
    logger.atWarning().log("halting roll-out %s: candidate is worse than current version", name);
    platform
        .put(key, stored.get().revision(), value)
        .subscribe()
        .with(
            version -> {
              tables.catalogue().merge(StoredObject.of(key, version, value));
              withdrawIfConfigured(rollout.get());
            },
            failure -> meters.count("retry.rollout-halt"));
  }

  private void withdrawIfConfigured(Rollout rollout) {
    ObjectKey key = ObjectKey.valueOf(Kinds.VERSION, rollout.candidate());
    Optional<StoredObject> stored = tables.catalogue().join().get(key);
    if (rollout.onHalt() != Rollout.OnHalt.WITHDRAW || stored.isEmpty()) {
      return;
    }
    tables
        .catalogue()
        .version(rollout.candidate())
        .map(version -> version.withState(VersionState.WITHDRAWN))
        .ifPresent(
            version ->
                platform
                    .put(key, stored.get().revision(), Json.STRICT.valueToTree(version))
                    .subscribe()
                    .with(written -> {}, failure -> meters.count("retry.rollout-halt")));
  }

  private Optional<Rollout> running(String model) {
    return tables
        .catalogue()
        .rollout(model)
        .filter(rollout -> rollout.state() == Rollout.State.RUNNING);
  }

  private Optional<Rollout> rolloutOf(String name) {
    return tables.catalogue().rolloutByName(name);
  }

  private CandidateEvidence ownEvidence(String candidate) {
    return evidenceByCandidate.computeIfAbsent(candidate, unused -> CandidateEvidence.create());
  }
}
