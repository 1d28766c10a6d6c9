// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.oatlug.errors.PeerUnavailableException;
import org.oatlug.internal.crash.CrashLedger;
import org.oatlug.internal.limit.AdvertisedLimits;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.rollout.ComparedPairs;
import org.oatlug.internal.rollout.PairCounts;
import org.oatlug.internal.rollout.VersionEvidence;
import org.oatlug.platform.StoreRevision;
import org.oatlug.test.VirtualTime;

/**
 * Simulates in virtual time the state exchange of instances in several availability zones.
 *
 * <p>All members are known from the start; the latency of a message is a few milliseconds, drawn
 * from the seed. Instances may be stopped, and zones partitioned. Used from one thread.
 */
final class StateExchangeFleet {
  static final String SERVICE = "pool";
  static final String VERSION = "v2";
  private static final Duration TICK = Duration.ofMillis(100);
  private static final int MAXIMUM_DELAY_MILLIS = 6;

  private final Random random;
  private final VirtualTime time = new VirtualTime();
  private final Map<String, Instance> instances = new TreeMap<>();
  private final Set<String> stopped = new HashSet<>();
  private final Set<String> partitionedZones = new HashSet<>();
  private int messages;
  private int messagesBetweenZones;

  private StateExchangeFleet(long seed) {
    random = new Random(seed);
  }

  /** One instance, with its own observations and the last aggregate of all others. */
  final class Instance implements ExchangeParticipant {
    final Membership membership;
    final StateExchange system;
    final CrashLedger ledger = CrashLedger.create(time);
    final AdvertisedLimits limits = AdvertisedLimits.create(time);
    final Map<String, Integer> openMillis = new TreeMap<>();
    final List<SessionObservation> unsent = new ArrayList<>();
    private final List<SessionObservation> reported = new ArrayList<>();
    final Set<Long> receivedSessions = new HashSet<>();
    long worse;
    boolean refuted;
    StateReport others = StateReport.EMPTY;
    Supplier<LoadReport> load = () -> LoadReport.EMPTY;
    Consumer<StateReport> listener = report -> {};

    private Instance(Member self) {
      membership = Membership.create(self, time, new Random(random.nextLong()));
      system =
          StateExchange.create(
              membership, this::sendRequest, time, Meters.of(new MetricRegistry()), this, ledger);
    }

    String name() {
      return membership.self().name();
    }

    private void tick() {
      if (!stopped.contains(name())) {
        system.tick();
      }
      after(TICK, this::tick);
    }

    private Uni<PeerMessage> sendRequest(Member peer, PeerMessage message, Duration timeout) {
      Instance target = instances.get(peer.name());
      messages++;
      if (!peer.zone().equals(membership.self().zone())) {
        messagesBetweenZones++;
      }
      return Uni.createFrom()
          .emitter(
              emitter -> {
                after(timeout, () -> emitter.fail(new PeerUnavailableException(peer.name())));
                if (canReach(target)) {
                  after(
                      delay(),
                      () -> {
                        PeerMessage response = target.system.handle(membership.self(), message);
                        after(delay(), () -> emitter.complete(response));
                      });
                }
              });
    }

    private boolean canReach(Instance target) {
      String ownZone = membership.self().zone();
      String targetZone = target.membership.self().zone();
      boolean partitioned =
          !ownZone.equals(targetZone)
              && (partitionedZones.contains(ownZone) || partitionedZones.contains(targetZone));
      return !partitioned && !stopped.contains(name()) && !stopped.contains(target.name());
    }

    @Override
    public StateReport localReport() {
      PairCounts failures = new PairCounts(worse, 0);
      ComparedPairs pairs = new ComparedPairs(failures, PairCounts.NONE, PairCounts.NONE);
      VersionEvidence evidence =
          new VersionEvidence(
              SERVICE, VERSION, StoreRevision.ofNumber(1), pairs, worse, refuted, 0, 1);
      List<VersionEvidence> entries = worse > 0 || refuted ? List.of(evidence) : List.of();
      return new StateReport(
          Map.copyOf(openMillis), entries, Map.of(), limits.observed(), Map.of(), load.get());
    }

    @Override
    public List<SessionObservation> drainPendingSessions() {
      List<SessionObservation> sessions = List.copyOf(unsent);
      unsent.clear();
      reported.addAll(sessions);
      return sessions;
    }

    @Override
    public List<SessionObservation> localSessions() {
      return List.copyOf(reported);
    }

    @Override
    public List<SessionObservation> knownSessions() {
      return List.copyOf(reported);
    }

    @Override
    public void applyReported(StateReport report) {
      others = report;
      listener.accept(report);
      limits.applyReported(report.limits());
      refuted |= report.refuted() > 0;
    }

    @Override
    public void applyReportedSessions(List<SessionObservation> sessions) {
      sessions.forEach(session -> receivedSessions.add(session.session()));
    }

    /** Returns the worse pairs of the version over all instances, as known to this one. */
    long allWorse() {
      return localReport().worsePairs() + others.worsePairs();
    }
  }

  /** Starts instances with complete membership. */
  static StateExchangeFleet of(int zones, int instancesPerZone, long seed) {
    StateExchangeFleet fleet = new StateExchangeFleet(seed);
    List<Member> members = new ArrayList<>();
    for (int zone = 0; zone < zones; zone++) {
      for (int number = 0; number < instancesPerZone; number++) {
        String name = "entry-" + zone + "-" + number;
        members.add(
            new Member(name, "zone-" + zone, name, "127.0.0.1", 1, 1, 0, Member.State.ALIVE));
      }
    }
    for (Member member : members) {
      Instance instance = fleet.new Instance(member);
      fleet.instances.put(member.name(), instance);
      members.forEach(instance.membership::merge);
      fleet.after(Duration.ofMillis(fleet.random.nextInt((int) TICK.toMillis())), instance::tick);
    }
    return fleet;
  }

  private Duration delay() {
    return Duration.ofMillis(1 + random.nextInt(MAXIMUM_DELAY_MILLIS));
  }

  /** Schedules an action. */
  void after(Duration delay, Runnable action) {
    time.after(delay, action);
  }

  /** Returns the clock of all instances. */
  InstantSource clock() {
    return time;
  }

  /** Advances the virtual time. */
  void run(Duration duration) {
    time.run(duration);
  }

  /** Returns the instances. */
  List<Instance> instances() {
    return List.copyOf(instances.values());
  }

  /** Returns the collector of a zone, as the instances of the zone select it. */
  Instance collectorOf(String zone) {
    Instance any =
        instances.values().stream()
            .filter(instance -> instance.membership.self().zone().equals(zone))
            .findFirst()
            .orElseThrow();
    return ZoneCollectors.of(any.membership, time)
        .ofOwnZone()
        .map(member -> instances.get(member.name()))
        .orElse(any);
  }

  /** Stops an instance without a change of the membership. */
  void stop(String name) {
    stopped.add(name);
  }

  /** Returns whether an instance is stopped. */
  boolean isStopped(String name) {
    return stopped.contains(name);
  }

  /** Resumes a stopped instance with its former state. */
  void resume(String name) {
    stopped.remove(name);
  }

  /** Partitions a zone from the others, or ends the partition. */
  void partition(String zone, boolean partitioned) {
    if (partitioned) {
      partitionedZones.add(zone);
    } else {
      partitionedZones.remove(zone);
    }
  }

  /** Returns the number of requests sent; responses are not counted. */
  int messages() {
    return messages;
  }

  /** Returns the number of requests sent to another zone. */
  int messagesBetweenZones() {
    return messagesBetweenZones;
  }
}
