// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.forward;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;

/**
 * Finds the instances to which requests for a service can be forwarded while this instance reaches
 * no upstream of it.
 *
 * <p>Load pattern: only instances that have lost a service ask, each a bounded sample of the
 * others, and again only while requests need an answer. If a whole availability zone is
 * partitioned, each of its instances asks a different sample, which spreads the requests. No
 * instance states anything on its own, so nothing is sent while no service is lost.
 *
 * <p>Invariants: a statement is used for at most {@link #VALIDITY}; each call of {@link #choose}
 * gets exactly one result. Owned by one event loop, not thread-safe.
 */
public final class Receivers {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The time for which a statement of an instance is used. */
  private static final Duration VALIDITY = Duration.ofSeconds(1);

  /** The age of the statements from which the instances are asked again. */
  private static final Duration REFRESH_AGE = Duration.ofMillis(400);

  /** The time for which an instance that did not serve a service gets no more requests for it. */
  private static final Duration UNSERVED_VALIDITY = Duration.ofSeconds(1);

  /** The timeout of a question: many times the latency between zones. */
  private static final Duration TIMEOUT = Duration.ofMillis(400);

  /** The number of instances of the own zone to ask. */
  private static final int OWN_ZONE_SAMPLE = 6;

  /** The number of instances of each other zone to ask. */
  private static final int OTHER_ZONE_SAMPLE = 3;

  private final Membership membership;
  private final PeerNetwork network;
  private final InstantSource clock;
  private final Random random;
  private final Meters meters;
  private final Map<String, ServiceReceivers> byService = new HashMap<>();
  private final Map<String, Integer> openRequests = new HashMap<>();

  private Receivers(
      Membership membership,
      PeerNetwork network,
      InstantSource clock,
      RandomGenerator random,
      Meters meters) {
    this.membership = membership;
    this.network = network;
    this.clock = clock;
    this.random = new Random(random.nextLong());
    this.meters = meters;
  }

  /** Returns the receivers among the members. */
  public static Receivers create(
      Membership membership,
      PeerNetwork network,
      InstantSource clock,
      RandomGenerator random,
      Meters meters) {
    return new Receivers(membership, network, clock, random, meters);
  }

  /** What is known of the receivers for one service. */
  private static final class ServiceReceivers {
    private final Map<String, Receiver> stated = new HashMap<>();
    private final Map<String, Instant> unservedUntil = new HashMap<>();
    private final List<Pending> pending = new ArrayList<>();
    private Set<String> logged = Set.of();
    private Instant askedAt = Instant.MIN;
    private int questionsOpen;
  }

  /** A request that waits for the first statements. */
  private record Pending(Set<String> excluded, Consumer<Optional<Receiver>> result) {}

  /**
   * Chooses the receiver of a request, empty if no instance is known to reach the service. The
   * result may come at once, or when the instances that were asked have answered.
   *
   * @param excluded the names of the instances that have already been tried
   */
  public void choose(String service, Set<String> excluded, Consumer<Optional<Receiver>> result) {
    ServiceReceivers receivers =
        byService.computeIfAbsent(service, unused -> new ServiceReceivers());
    if (isDue(receivers)) {
      ask(service, receivers);
    }
    Optional<Receiver> known = best(receivers, excluded);
    if (known.isEmpty() && receivers.questionsOpen > 0) {
      receivers.pending.add(new Pending(excluded, result));
    } else {
      result.accept(known);
    }
  }

  private boolean isDue(ServiceReceivers receivers) {
    if (receivers.questionsOpen > 0) {
      return false;
    }
    return receivers.askedAt.equals(Instant.MIN)
        || !clock.instant().isBefore(receivers.askedAt.plus(REFRESH_AGE));
  }

  private void ask(String service, ServiceReceivers receivers) {
    receivers.askedAt = clock.instant();
    List<Member> sample = sample(receivers);
    receivers.questionsOpen = sample.size();
    for (Member member : sample) {
      network
          .sendRequest(member, new PeerMessage.PathQuery(service), TIMEOUT)
          .subscribe()
          .with(
              answer -> answered(service, receivers, member, answer),
              failure -> {
                logger.atFine().log("%s does not answer whether it reaches it", member.name());
                answered(service, receivers, member, new PeerMessage.Failed("no answer"));
              });
    }
  }

  /** Returns the instances to ask: those that served before, and random others of each zone. */
  private List<Member> sample(ServiceReceivers receivers) {
    List<Member> members =
        new ArrayList<>(
            membership.live().stream()
                .filter(member -> member.state() == Member.State.ALIVE && member.epoch() > 0)
                .filter(member -> !membership.isSelf(member))
                .toList());
    Collections.shuffle(members, random);
    // One that seems unreachable may just have started.
    members.sort(
        Comparator.comparing((Member member) -> !receivers.stated.containsKey(member.name()))
            .thenComparing(member -> !membership.isReachable(member)));
    Map<String, Integer> countByZone = new HashMap<>();
    return members.stream()
        .filter(member -> countByZone.merge(member.zone(), 1, Integer::sum) <= sampleSize(member))
        .toList();
  }

  private int sampleSize(Member member) {
    return isOwnZone(member) ? OWN_ZONE_SAMPLE : OTHER_ZONE_SAMPLE;
  }

  private boolean isOwnZone(Member member) {
    return member.zone().equals(membership.self().zone());
  }

  private void answered(
      String service, ServiceReceivers receivers, Member member, PeerMessage message) {
    if (message instanceof PeerMessage.PathAnswer answer && answer.available()) {
      Receiver receiver = new Receiver(member, answer.port(), answer.reached(), clock.instant());
      receivers.stated.put(member.name(), receiver);
    } else {
      receivers.stated.remove(member.name());
    }
    questionEnded(receivers);
    if (receivers.questionsOpen == 0) {
      logChange(service, receivers);
    }
  }

  private static void logChange(String service, ServiceReceivers receivers) {
    Set<String> names = Set.copyOf(receivers.stated.keySet());
    if (!names.equals(receivers.logged)) {
      receivers.logged = names;
      logger.atInfo().log("service %s: forwarding is possible to %s", service, names);
    }
  }

  /**
   * Completes the requests that wait once one instance reaches the service or all have answered.
   */
  private void questionEnded(ServiceReceivers receivers) {
    receivers.questionsOpen--;
    boolean anyReached = receivers.stated.values().stream().anyMatch(Receiver::reached);
    if (receivers.questionsOpen > 0 && !anyReached) {
      return;
    }
    List<Pending> completed = List.copyOf(receivers.pending);
    receivers.pending.clear();
    completed.forEach(each -> each.result().accept(best(receivers, each.excluded())));
  }

  /**
   * Returns the best receiver: one that reached the service, of the own zone, with few requests.
   */
  private Optional<Receiver> best(ServiceReceivers receivers, Set<String> excluded) {
    Instant now = clock.instant();
    List<Receiver> usable =
        new ArrayList<>(
            receivers.stated.values().stream()
                .filter(receiver -> !excluded.contains(receiver.name()))
                .filter(receiver -> now.isBefore(receiver.statedAt().plus(VALIDITY)))
                .filter(receiver -> !isUnserved(receivers, receiver, now))
                .filter(receiver -> !membership.isGone(receiver.member().process()))
                .toList());
    Collections.shuffle(usable, random);
    return usable.stream()
        .min(
            Comparator.comparing((Receiver receiver) -> !receiver.reached())
                .thenComparing(receiver -> !isOwnZone(receiver.member()))
                .thenComparing(receiver -> openRequests.getOrDefault(receiver.name(), 0)));
  }

  private static boolean isUnserved(ServiceReceivers receivers, Receiver receiver, Instant now) {
    Instant until = receivers.unservedUntil.getOrDefault(receiver.name(), Instant.MIN);
    return now.isBefore(until);
  }

  /** Records that an instance refused a request because it cannot serve the service itself. */
  public void recordUnserved(String service, Receiver receiver) {
    meters.count("forward.unserved");
    ServiceReceivers receivers =
        byService.computeIfAbsent(service, unused -> new ServiceReceivers());
    receivers.unservedUntil.put(receiver.name(), clock.instant().plus(UNSERVED_VALIDITY));
    receivers.stated.remove(receiver.name());
  }

  /** Records that a request is open at the receiver until {@link #end}. */
  public void begin(Receiver receiver) {
    openRequests.merge(receiver.name(), 1, Integer::sum);
  }

  /** Records that a request at the receiver has ended. */
  public void end(Receiver receiver) {
    openRequests.computeIfPresent(receiver.name(), (unused, count) -> count > 1 ? count - 1 : null);
  }
}
