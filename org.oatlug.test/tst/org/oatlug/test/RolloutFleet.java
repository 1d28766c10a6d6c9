// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.oatlug.test.RolloutSample.BOUNDS;
import static org.oatlug.test.RolloutSample.NEW;
import static org.oatlug.test.RolloutSample.OLD;
import static org.oatlug.test.RolloutSample.ROUTE;
import static org.oatlug.test.RolloutSample.SERVICE;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.oatlug.api.ObjectKey;
import org.oatlug.errors.PeerUnavailableException;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.ServiceRollout;
import org.oatlug.internal.crash.CrashLedger;
import org.oatlug.internal.gateway.GatewayTables;
import org.oatlug.internal.gateway.ReadinessGate;
import org.oatlug.internal.gateway.RolloutDirector;
import org.oatlug.internal.gateway.VersionRule;
import org.oatlug.internal.gather.ExchangeParticipant;
import org.oatlug.internal.gather.SessionObservation;
import org.oatlug.internal.gather.StateExchange;
import org.oatlug.internal.gather.StateReport;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Simulates instances in several availability zones that roll out a version, in virtual time: with
 * the production roll-out logic, the production exchange between instances and an in-memory store.
 *
 * <p>Objects of the store reach each instance some milliseconds after they are written, or after a
 * delay set by the test. Instances can be restarted gracefully, killed, and started with a clock
 * error; the new version may fail a part of its requests, and the links between instances may go
 * silent. Not thread-safe.
 */
final class RolloutFleet {
  private static final ObjectKey KEY = ObjectKey.valueOf(GatewayKinds.ROLLOUT, SERVICE);
  private static final Duration TICK = Duration.ofMillis(100);

  /** The default delay from a write to the store until an instance merges the object. */
  private static final Duration REPLICATION_DELAY = Duration.ofMillis(30);

  /** The time from the start of a process until it serves. */
  private static final Duration START_DURATION = Duration.ofMillis(1500);

  /** The time from the beginning of a graceful stop until the process has ended. */
  private static final Duration STOP_DURATION = Duration.ofMillis(600);

  /** The time after which the other instances consider a killed instance dead. */
  private static final Duration DEATH_DETECTION_DELAY = Duration.ofMillis(2800);

  private static final int MAXIMUM_MESSAGE_DELAY_MILLIS = 6;

  private final VirtualTime time = new VirtualTime();
  private final Random random;
  private final FakePlatform platform = FakePlatform.create();
  private final Map<String, Instance> instances = new TreeMap<>();
  private final Map<String, Duration> replicationDelays = new TreeMap<>();
  private final Map<String, Duration> clockErrors = new TreeMap<>();
  private final Set<String> down = new HashSet<>();
  private Optional<Instant> rolloutWrittenAt = Optional.empty();
  private Duration duration = Duration.ZERO;
  private StoreRevision storeRevision = StoreRevision.NONE;
  private double failingFraction;
  private boolean linksSilent;
  private int requestsDuringRollout;
  private int requestsToNewDuringRollout;

  private RolloutFleet(long seed) {
    random = new Random(seed);
    platform.deferCalls(false);
  }

  /** Starts instances that have discovered each other. */
  static RolloutFleet of(int zones, int instancesPerZone, long seed) {
    RolloutFleet fleet = new RolloutFleet(seed);
    for (int zone = 0; zone < zones; zone++) {
      for (int number = 0; number < instancesPerZone; number++) {
        fleet.add("entry-" + zone + "-" + number, "zone-" + zone, 1);
      }
    }
    fleet
        .instances
        .values()
        .forEach(instance -> fleet.instances.values().forEach(instance::discover));
    fleet.time.after(TICK, fleet::readStore);
    return fleet;
  }

  private Instance add(String name, String zone, long epoch) {
    Instance instance =
        new Instance(
            new Member(name, zone, name, "127.0.0.1", 1, epoch, 0, Member.State.ALIVE),
            clockErrors.getOrDefault(name, Duration.ZERO));
    instances.put(name, instance);
    time.after(Duration.ofMillis(random.nextInt((int) TICK.toMillis())), instance::tick);
    return instance;
  }

  /** One process of an instance. */
  final class Instance implements ExchangeParticipant {
    private final Membership membership;
    private final GatewayTables tables;
    private final RolloutDirector director;
    private final StateExchange exchange;
    private final ReadinessGate readinessGate;

    private Instance(Member self, Duration clockError) {
      InstantSource clock = () -> time.instant().plus(clockError);
      Meters meters = Meters.of(new MetricRegistry());
      membership = Membership.create(self, clock, new Random(random.nextLong()));
      tables = GatewayTables.create(clock);
      director = RolloutDirector.create(tables, platform, membership, clock, meters, BOUNDS);
      exchange =
          StateExchange.create(
              membership, this::sendRequest, clock, meters, this, CrashLedger.create(clock));
      director.onRefuted(exchange::sendReportNow);
      readinessGate =
          ReadinessGate.create(
              clock,
              () -> true,
              () -> true,
              () ->
                  !tables.hasRunningRollout()
                      || exchange.hasCompletedInitialExchange()
                      || exchange.hasSessionRecords() && director.knowsOrderAges(),
              () -> true);
    }

    String name() {
      return membership.self().name();
    }

    private boolean isUp() {
      return instances.get(name()) == this && !down.contains(name());
    }

    private void discover(Instance other) {
      if (other != this) {
        membership.merge(other.membership.self());
      }
    }

    private void tick() {
      if (isUp()) {
        director.tick();
        exchange.tick();
        readinessGate.tryOpen();
        time.after(TICK, this::tick);
      }
    }

    private Uni<PeerMessage> sendRequest(Member peer, PeerMessage message, Duration timeout) {
      return Uni.createFrom()
          .emitter(
              emitter -> {
                time.after(timeout, () -> emitter.fail(new PeerUnavailableException(peer.name())));
                time.after(
                    messageDelay(),
                    () -> {
                      Instance target = instances.get(peer.name());
                      if (target.isUp() && !linksSilent) {
                        PeerMessage response = target.exchange.handle(membership.self(), message);
                        time.after(messageDelay(), () -> emitter.complete(response));
                      }
                    });
              });
    }

    /** Simulates a request of the session and returns the version that the instance selects. */
    String send(String session) {
      RequestHead head = headOf(Optional.of(session));
      String version = selectVersion(ROUTE, head);
      countRequest(version);
      director.recordSent(SERVICE, version, head);
      boolean failed = version.equals(NEW) && random.nextDouble() < failingFraction;
      director.recordResponse(
          new VersionRule.Response(SERVICE, version, ROUTE, "", failed, Duration.ofMillis(50)));
      return version;
    }

    /** Simulates a request without a session; its response takes the time for its version. */
    void sendPlain(ToLongFunction<String> millisOfVersion) {
      sendPlain(ROUTE, millisOfVersion, version -> false);
    }

    /** Simulates a request without a session on a route, which may fail on a version. */
    void sendPlain(
        Route route, ToLongFunction<String> millisOfVersion, Predicate<String> failsOnVersion) {
      String version = selectVersion(route, headOf(Optional.empty()));
      countRequest(version);
      Duration took = Duration.ofMillis(millisOfVersion.applyAsLong(version));
      boolean failed = failsOnVersion.test(version);
      time.after(
          took,
          () ->
              director.recordResponse(
                  new VersionRule.Response(SERVICE, version, route, "", failed, took)));
    }

    private RequestHead headOf(Optional<String> session) {
      return new RequestHead(
          "id-" + random.nextLong(),
          "h",
          "/",
          Optional.empty(),
          Optional.empty(),
          session,
          OptionalLong.empty(),
          Optional.empty());
    }

    private String selectVersion(Route route, RequestHead head) {
      boolean selectsNew =
          director
              .preferenceFor(SERVICE, route, head, VersionRule.PriorAttempts.NONE)
              .map(preferred -> preferred.version().equals(NEW) == preferred.wanted())
              .orElse(false);
      return selectsNew ? NEW : OLD;
    }

    @Override
    public StateReport localReport() {
      return new StateReport(Map.of(), director.evidence(), Map.of(), Map.of(), Map.of());
    }

    @Override
    public List<SessionObservation> drainPendingSessions() {
      return director.drainPendingSessions();
    }

    @Override
    public List<SessionObservation> localSessions() {
      return director.localSessions();
    }

    @Override
    public List<SessionObservation> knownSessions() {
      return director.knownSessions();
    }

    @Override
    public void applyReported(StateReport report) {
      report.evidence().forEach(director::applyReported);
    }

    @Override
    public void applyReportedSessions(List<SessionObservation> sessions) {
      sessions.forEach(director::applyReportedSession);
    }
  }

  private void countRequest(String version) {
    if (isOrdered() && elapsedFraction() < 1) {
      requestsDuringRollout++;
      requestsToNewDuringRollout += version.equals(NEW) ? 1 : 0;
    }
  }

  /** Makes the new version fail this fraction of its requests. */
  void failNewVersion(double fraction) {
    failingFraction = fraction;
  }

  /** Makes all links between instances silent for good. */
  void silenceLinks() {
    linksSilent = true;
  }

  /** Returns the state of the roll-out that was written to the store, empty for none. */
  Optional<ServiceRollout.State> rolloutState() {
    return instances
        .values()
        .iterator()
        .next()
        .tables
        .rollout(SERVICE)
        .flatMap(ServiceRollout::state);
  }

  /** Returns the number of requests between the order and the end of its duration. */
  int requestsDuringRollout() {
    return requestsDuringRollout;
  }

  /** Returns how many of them were sent to the new version. */
  int requestsToNewDuringRollout() {
    return requestsToNewDuringRollout;
  }

  private Duration messageDelay() {
    return Duration.ofMillis(1 + random.nextInt(MAXIMUM_MESSAGE_DELAY_MILLIS));
  }

  /** Polls the store and replicates a changed object to all instances. */
  private void readStore() {
    platform
        .get(KEY)
        .await()
        .indefinitely()
        .filter(object -> object.revision().isAfter(storeRevision))
        .ifPresent(
            object -> {
              storeRevision = object.revision();
              instances.values().forEach(instance -> replicate(instance, object));
            });
    time.after(Duration.ofMillis(10), this::readStore);
  }

  private void replicate(Instance instance, StoredObject object) {
    Duration wait = replicationDelays.getOrDefault(instance.name(), REPLICATION_DELAY);
    time.after(wait, () -> instance.tables.mergeAll(List.of(object)));
  }

  /** Writes the roll-out of the new version to the store. */
  void startRollout(Duration rolloutDuration) {
    duration = rolloutDuration;
    rolloutWrittenAt = Optional.of(time.instant());
    ServiceRollout rollout =
        new ServiceRollout(
            SERVICE, NEW, StoreRevision.ofNumber(1), rolloutDuration.toMillis(), Optional.empty());
    platform.put(KEY, StoreRevision.NONE, Json.STRICT.valueToTree(rollout)).await().indefinitely();
  }

  /** Sets the replication delay from the store to an instance. */
  void delayStoreUpdates(String name, Duration delay) {
    replicationDelays.put(name, delay);
  }

  /** Sets the clock error with which an instance starts next. */
  void setClockError(String name, Duration error) {
    clockErrors.put(name, error);
  }

  /** Restarts an instance immediately with a clock error. */
  void restartWithClockError(String name, Duration error) {
    setClockError(name, error);
    replace(instances.get(name));
  }

  /** Stops an instance gracefully and starts it again. */
  void restart(String name) {
    Instance instance = instances.get(name);
    instance.membership.leave();
    others(instance).forEach(other -> other.discover(instance));
    time.after(STOP_DURATION, () -> down.add(name));
    time.after(STOP_DURATION.plus(START_DURATION), () -> replace(instance));
  }

  /** Kills an instance permanently; the others consider it dead only after a delay. */
  void kill(String name) {
    Instance instance = instances.get(name);
    down.add(name);
    Member dead = instance.membership.self().withState(Member.State.DEAD);
    time.after(
        DEATH_DETECTION_DELAY,
        () -> others(instance).forEach(other -> other.membership.merge(dead)));
  }

  private void replace(Instance previous) {
    Member self = previous.membership.self();
    down.remove(self.name());
    Instance started = add(self.name(), self.zone(), self.epoch() + 1);
    for (Instance other : others(started)) {
      other.discover(started);
      started.discover(other);
    }
    platform.get(KEY).await().indefinitely().ifPresent(object -> mergeObject(started, object));
  }

  private static void mergeObject(Instance instance, StoredObject object) {
    instance.tables.mergeAll(List.of(object));
  }

  private List<Instance> others(Instance instance) {
    return instances.values().stream().filter(other -> other != instance).toList();
  }

  /** Returns the instances that accept requests. */
  List<Instance> serving() {
    List<Instance> serving = new ArrayList<>();
    for (Instance instance : instances.values()) {
      boolean isAlive = instance.membership.self().state() == Member.State.ALIVE;
      if (instance.isUp() && isAlive && instance.readinessGate.isOpen()) {
        serving.add(instance);
      }
    }
    return serving;
  }

  List<String> names() {
    return List.copyOf(instances.keySet());
  }

  /** Returns the fraction of the roll-out duration that has passed since it was written. */
  double elapsedFraction() {
    return rolloutWrittenAt
        .map(at -> (double) Duration.between(at, time.instant()).toMillis() / duration.toMillis())
        .orElse(0.0);
  }

  boolean isOrdered() {
    return rolloutWrittenAt.isPresent();
  }

  VirtualTime time() {
    return time;
  }

  Random random() {
    return random;
  }
}
