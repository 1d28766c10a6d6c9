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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.oatlug.errors.PeerUnavailableException;
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
 * <p>Invariants: a statement older than {@link #VALIDITY} is used only if no instance has made a
 * later one; each call of {@link #choose} gets exactly one result. Owned by one event loop, not
 * thread-safe.
 */
public final class Receivers {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The time for which a statement of an instance is used. */
  private static final Duration VALIDITY = Duration.ofSeconds(1);

  /**
   * The time for which a statement is used if there is none that is valid: the connections by which
   * instances ask may have gone silent, while new ones work.
   */
  private static final Duration SILENT_VALIDITY = Duration.ofSeconds(5);

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
    private final Set<String> askedProcesses = new HashSet<>();

    /** The processes whose answers may have arrived unread, because this instance was late. */
    private final Set<String> unheardProcesses = new HashSet<>();

    private Set<String> logged = Set.of();
    private Instant askedAt = Instant.MIN;
    private int questionsOpen;
    private boolean askedAgain;

    /** Allows to ask processes that did not respond again, once for each refresh. */
    void askUnheardAgain() {
      if (!unheardProcesses.isEmpty() && !askedAgain) {
        askedAgain = true;
        askedProcesses.removeAll(unheardProcesses);
      }
      unheardProcesses.clear();
    }
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
    if (receivers.questionsOpen == 0) {
      if (isRefreshDue(receivers)) {
        receivers.askedAt = clock.instant();
        receivers.askedAgain = false;
        receivers.askedProcesses.removeIf(membership::isGone);
        ask(service, receivers, sample(receivers, member -> true));
      } else if (best(receivers, excluded, VALIDITY).isEmpty()) {
        askOthers(service, receivers);
      }
    }
    boolean asking = receivers.questionsOpen > 0;
    Optional<Receiver> known = best(receivers, excluded, asking ? VALIDITY : SILENT_VALIDITY);
    if (known.isEmpty() && asking) {
      receivers.pending.add(new Pending(excluded, result));
    } else {
      result.accept(known);
    }
  }

  private boolean isRefreshDue(ServiceReceivers receivers) {
    return receivers.askedAt.equals(Instant.MIN)
        || !clock.instant().isBefore(receivers.askedAt.plus(REFRESH_AGE));
  }

  /** Asks instances that have not been asked yet, such as those learned since. */
  private void askOthers(String service, ServiceReceivers receivers) {
    ask(
        service,
        receivers,
        sample(receivers, member -> !receivers.askedProcesses.contains(member.process())));
  }

  private void ask(String service, ServiceReceivers receivers, List<Member> sample) {
    receivers.questionsOpen = sample.size();
    sample.forEach(member -> receivers.askedProcesses.add(member.process()));
    for (Member member : sample) {
      network
          .sendRequest(member, new PeerMessage.PathQuery(service), TIMEOUT)
          .subscribe()
          .with(
              answer -> answered(service, receivers, member, answer),
              failure -> {
                logger.atFine().log("%s does not answer whether it reaches it", member.name());
                if (!PeerUnavailableException.isEvidence(failure)) {
                  receivers.unheardProcesses.add(member.process());
                }
                questionEnded(service, receivers);
              });
    }
  }

  /** Returns the instances to ask: those that served before, and random others of each zone. */
  private List<Member> sample(ServiceReceivers receivers, Predicate<Member> filter) {
    List<Member> members =
        new ArrayList<>(
            membership.live().stream()
                .filter(member -> member.state() == Member.State.ALIVE && member.epoch() > 0)
                .filter(member -> !membership.isSelf(member) && filter.test(member))
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
    questionEnded(service, receivers);
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

  private boolean lacksReceiver(ServiceReceivers receivers) {
    return receivers.pending.stream()
        .anyMatch(request -> best(receivers, request.excluded(), VALIDITY).isEmpty());
  }

  /**
   * Completes the requests for which there is an instance that has reached the service, or all once
   * everyone has answered.
   */
  private void questionEnded(String service, ServiceReceivers receivers) {
    receivers.questionsOpen--;
    if (receivers.questionsOpen == 0 && lacksReceiver(receivers)) {
      receivers.askUnheardAgain();
      askOthers(service, receivers);
    }
    boolean allAnswered = receivers.questionsOpen == 0;
    List<Pending> waiting = List.copyOf(receivers.pending);
    receivers.pending.clear();
    for (Pending request : waiting) {
      Optional<Receiver> receiver =
          best(receivers, request.excluded(), allAnswered ? SILENT_VALIDITY : VALIDITY);
      if (allAnswered || receiver.filter(Receiver::reached).isPresent()) {
        request.result().accept(receiver);
      } else {
        receivers.pending.add(request);
      }
    }
  }

  /**
   * Returns the best receiver: one that reached the service, of the own zone, with few requests.
   */
  private Optional<Receiver> best(
      ServiceReceivers receivers, Set<String> excluded, Duration validity) {
    Instant now = clock.instant();
    List<Receiver> usable =
        new ArrayList<>(
            receivers.stated.values().stream()
                .filter(receiver -> !excluded.contains(receiver.name()))
                .filter(receiver -> now.isBefore(receiver.statedAt().plus(validity)))
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
