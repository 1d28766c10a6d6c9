// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.forward;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.oatlug.errors.PeerUnavailableException;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.test.VirtualTime;

/**
 * Simulates in virtual time instances of which some have lost a service and forward the requests of
 * their callers. Used from one thread.
 */
final class ReceiverFleet {
  static final String SERVICE = "pool";
  private static final List<String> ZONES = List.of("hall-a", "hall-b", "hall-c");
  private static final Duration USUAL_INTERVAL = Duration.ofMillis(50);
  private static final int MAXIMUM_DELAY_MILLIS = 6;
  private static final int MAXIMUM_REQUEST_MILLIS = 1000;

  private final Random random;
  private final Duration requestInterval;
  private final VirtualTime time = new VirtualTime();
  private final Map<String, Instance> instances = new TreeMap<>();
  private final Set<String> lost = new HashSet<>();
  private final Set<String> stopped = new HashSet<>();
  private boolean answersLost;
  private Instant lateUntil = Instant.MIN;
  final Map<String, Integer> requestsByReceiver = new TreeMap<>();
  final Map<String, Integer> questionsByInstance = new TreeMap<>();
  int withoutReceiver;

  private ReceiverFleet(long seed, Duration requestInterval) {
    random = new Random(seed);
    this.requestInterval = requestInterval;
  }

  /** One instance, whose callers send requests at a constant rate. */
  private final class Instance {
    final Membership membership;
    final Receivers receivers;

    Instance(Member self) {
      membership = Membership.create(self, time, new Random(random.nextLong()));
      receivers =
          Receivers.create(
              membership,
              this::sendRequest,
              time,
              new Random(random.nextLong()),
              Meters.of(new MetricRegistry()));
    }

    private Uni<PeerMessage> sendRequest(Member peer, PeerMessage message, Duration timeout) {
      questionsByInstance.merge(peer.name(), 1, Integer::sum);
      return Uni.createFrom()
          .emitter(
              emitter -> {
                boolean late = !time.instant().isAfter(lateUntil);
                time.after(
                    timeout,
                    () ->
                        emitter.fail(
                            late
                                ? PeerUnavailableException.duringOwnDelay(peer.name())
                                : new PeerUnavailableException(peer.name())));
                if (!stopped.contains(peer.name()) && !answersLost && !late) {
                  time.after(
                      delay().plus(delay()),
                      () ->
                          emitter.complete(
                              new PeerMessage.PathAnswer(!lost.contains(peer.name()), true, 1)));
                }
              });
    }

    void sendRequests() {
      String name = membership.self().name();
      if (lost.contains(name)) {
        receivers.choose(
            SERVICE,
            Set.of(),
            receiver -> receiver.ifPresentOrElse(this::forward, () -> withoutReceiver++));
      }
      time.after(requestInterval, this::sendRequests);
    }

    private void forward(Receiver receiver) {
      requestsByReceiver.merge(receiver.name(), 1, Integer::sum);
      receivers.begin(receiver);
      Duration duration = Duration.ofMillis(random.nextInt(MAXIMUM_REQUEST_MILLIS));
      time.after(duration, () -> receivers.end(receiver));
      if (lost.contains(receiver.name()) || stopped.contains(receiver.name())) {
        withoutReceiver++;
        receivers.recordUnserved(SERVICE, receiver);
      }
    }
  }

  private Duration delay() {
    return Duration.ofMillis(1 + random.nextInt(MAXIMUM_DELAY_MILLIS));
  }

  /** Returns instances in three zones, all of which reach the service. */
  static ReceiverFleet create(int size, long seed) {
    return create(size, seed, USUAL_INTERVAL);
  }

  /** Returns the same with this time between two requests at each instance. */
  static ReceiverFleet create(int size, long seed, Duration requestInterval) {
    ReceiverFleet fleet = createUnacquainted(size, seed, requestInterval);
    fleet.introduceAll();
    return fleet;
  }

  /** Returns instances that do not know each other yet. */
  static ReceiverFleet createUnacquainted(int size, long seed, Duration requestInterval) {
    ReceiverFleet fleet = new ReceiverFleet(seed, requestInterval);
    for (int number = 0; number < size; number++) {
      String name = "entry-" + number;
      Member member =
          new Member(
              name,
              ZONES.get(number % ZONES.size()),
              name,
              "127.0.0.1",
              1000 + number,
              1,
              0,
              Member.State.ALIVE);
      fleet.instances.put(name, fleet.new Instance(member));
    }
    for (Instance instance : fleet.instances.values()) {
      fleet.time.after(
          Duration.ofMillis(fleet.random.nextInt((int) requestInterval.toMillis())),
          instance::sendRequests);
    }
    return fleet;
  }

  /** Partitions the given number of instances of the zone from the upstreams. */
  void loseService(String zone, int count) {
    instances.values().stream()
        .map(instance -> instance.membership.self())
        .filter(member -> member.zone().equals(zone))
        .limit(count)
        .forEach(member -> lost.add(member.name()));
  }

  /** Lets all instances know each other. */
  void introduceAll() {
    for (Instance instance : instances.values()) {
      instances.values().forEach(peer -> instance.membership.merge(peer.membership.self()));
    }
  }

  /** Stops an instance, so that it answers nothing. */
  void stop(String name) {
    stopped.add(name);
  }

  /** Lets the event loops of all instances lag, so that they read no answers in time. */
  void lagFor(Duration duration) {
    lateUntil = time.instant().plus(duration);
  }

  /** Sets whether questions get no answers, as on silent connections, though all instances run. */
  void loseAnswers(boolean lose) {
    answersLost = lose;
  }

  /** Returns the number of instances of a zone. */
  int sizeOf(String zone) {
    return (int) instances.keySet().stream().filter(name -> zoneOf(name).equals(zone)).count();
  }

  String zoneOf(String name) {
    return instances.get(name).membership.self().zone();
  }

  /** Returns the number of instances that reach the service. */
  int reaching() {
    return instances.size() - lost.size();
  }

  /** Runs for a time, and counts from its beginning. */
  void run(Duration duration) {
    requestsByReceiver.clear();
    questionsByInstance.clear();
    withoutReceiver = 0;
    time.run(duration);
  }
}
