// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Pushes changes to the other instances of this availability zone, and to the other zones.
 *
 * <p>Invariant: an instance relays each change once. The instance that brings a change into the
 * zone, through whichever channel, also sends it to the root of its tree. So pushes alone reach
 * every reachable instance. To each of them, one push at a time is in flight, see {@link
 * PushQueue}. Owned by one event loop, not thread-safe.
 */
final class ObjectBroadcaster {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Time within which an instance must acknowledge a push; otherwise its subtree is sent the push
   * directly. Many times the latency between zones, and short enough that two unresponsive
   * instances in a row cost less than a third of the two seconds for which leaving upstreams still
   * serve.
   */
  private static final Duration PUSH_TIMEOUT = Duration.ofMillis(300);

  /** Minimum time between log lines about failed pushes. */
  private static final int FAILED_PUSH_LOG_INTERVAL_MILLIS = 50;

  /** Number of instances of each other zone to which a reader pushes. */
  private static final int REMOTE_RECEIVERS = 2;

  private final Membership membership;
  private final PeerNetwork network;
  private final RandomGenerator random;
  private final Meters meters;
  private final LongSupplier contactAge;
  private final Map<String, PushQueue> queues = new TreeMap<>();
  private List<String> instanceNames = List.of();
  private BroadcastTrees trees = BroadcastTrees.over(instanceNames);

  private ObjectBroadcaster(
      Membership membership,
      PeerNetwork network,
      RandomGenerator random,
      Meters meters,
      LongSupplier contactAge) {
    this.membership = membership;
    this.network = network;
    this.random = random;
    this.meters = meters;
    this.contactAge = contactAge;
  }

  /**
   * Returns the broadcaster of this instance.
   *
   * @param contactAge the age of the last contact with the platform in milliseconds, -1 for none
   */
  static ObjectBroadcaster create(
      Membership membership,
      PeerNetwork network,
      RandomGenerator random,
      Meters meters,
      LongSupplier contactAge) {
    return new ObjectBroadcaster(membership, network, random, meters, contactAge);
  }

  /** Pushes changes that this instance read from the platform to all zones. */
  void broadcast(List<StoredObject> changes) {
    pushToZone(changes);
    remotePeersByZone().keySet().forEach(zone -> pushToRemoteZone(zone, changes));
  }

  /** Pushes changes to instances of another zone; to others of them if these do not respond. */
  private void pushToRemoteZone(String zone, List<StoredObject> changes) {
    List<Member> peers = remotePeersByZone().getOrDefault(zone, List.of());
    List<Member> responsive =
        new ArrayList<>(peers.stream().filter(peer -> !isProbablyUnresponsive(peer)).toList());
    if (responsive.isEmpty()) {
      chooseReceivers(new ArrayList<>(peers)).forEach(peer -> send(peer, changes, failed -> {}));
      return;
    }
    chooseReceivers(responsive)
        .forEach(peer -> send(peer, changes, failed -> pushToRemoteZone(zone, failed)));
  }

  /** Pushes changes that this instance brought into its zone to the instances of the zone. */
  void pushToZone(List<StoredObject> changes) {
    BroadcastTrees currentTrees = trees();
    String self = membership.self().name();
    push(
        currentTrees,
        changes,
        change -> {
          List<String> receivers = new ArrayList<>(currentTrees.childrenOf(change, self));
          receivers.add(currentTrees.rootOf(change));
          return receivers;
        });
  }

  /** Relays changes that another instance pushed to this one. */
  void relay(Member from, List<StoredObject> changes) {
    if (!from.zone().equals(membership.self().zone())) {
      // The push must also reach the root: the children of this instance are only a part of the
      // zone, and the rest would not receive the change before the next comparison of digests.
      pushToZone(changes);
      return;
    }
    BroadcastTrees currentTrees = trees();
    String self = membership.self().name();
    push(currentTrees, changes, change -> currentTrees.childrenOf(change, self));
  }

  /** Returns the trees over the live instances of the zone, rebuilt when these change. */
  private BroadcastTrees trees() {
    List<String> live = new ArrayList<>();
    live.add(membership.self().name());
    membership.zonePeers().forEach(peer -> live.add(peer.name()));
    if (!live.equals(instanceNames)) {
      instanceNames = live;
      trees = BroadcastTrees.over(instanceNames);
    }
    return trees;
  }

  /** Sends the changes to their receivers, one message per receiver. */
  private void push(
      BroadcastTrees pushTrees,
      List<StoredObject> changes,
      Function<StoredObject, List<String>> receiversOf) {
    Map<String, List<StoredObject>> byReceiver = new TreeMap<>();
    for (StoredObject change : changes) {
      for (String receiver : new HashSet<>(receiversOf.apply(change))) {
        byReceiver.computeIfAbsent(receiver, unused -> new ArrayList<>()).add(change);
      }
    }
    byReceiver.remove(membership.self().name());
    Map<String, Member> peers =
        membership.zonePeers().stream()
            .collect(Collectors.toMap(Member::name, Function.identity()));
    byReceiver.forEach(
        (name, receiverChanges) ->
            pushTo(pushTrees, name, Optional.ofNullable(peers.get(name)), receiverChanges));
  }

  /**
   * Sends changes to an instance of this zone, and to all below it in the tree if it has died,
   * seems unresponsive or does not acknowledge them in time. Its children may be lost as well, and
   * to wait for each of them in turn would take too long.
   *
   * @param peer the instance of this name, empty if it died since the trees were built
   */
  private void pushTo(
      BroadcastTrees pushTrees, String name, Optional<Member> peer, List<StoredObject> changes) {
    // If the peer did not relay them, its subtree would get the changes only by comparing digests.
    Consumer<List<StoredObject>> pushToSubtree =
        failed -> push(pushTrees, failed, change -> pushTrees.descendantsOf(change, name));
    if (peer.isEmpty()) {
      pushToSubtree.accept(changes);
    } else if (isProbablyUnresponsive(peer.get())) {
      send(peer.get(), changes, failed -> {});
      pushToSubtree.accept(changes);
    } else {
      send(peer.get(), changes, pushToSubtree);
    }
  }

  private boolean isProbablyUnresponsive(Member peer) {
    PushQueue queue = queues.get(peer.process());
    boolean failing = queue != null && queue.isFailing();
    return failing || peer.state() == Member.State.SUSPECT || !membership.isReachable(peer);
  }

  /** Sends the objects of failed pushes again; called once a tick. */
  void tick() {
    if (queues.isEmpty()) {
      return;
    }
    Set<String> live = membership.live().stream().map(Member::process).collect(Collectors.toSet());
    queues.values().removeIf(PushQueue::isIdle);
    queues.keySet().retainAll(live);
    // A failure may add queues, for the children of the instance in the tree.
    List.copyOf(queues.values()).forEach(PushQueue::tick);
  }

  private void send(
      Member peer, List<StoredObject> changes, Consumer<List<StoredObject>> onFirstFailure) {
    queues
        .computeIfAbsent(
            peer.process(), unused -> PushQueue.create(objects -> sendMessage(peer, objects)))
        .add(changes, onFirstFailure);
  }

  private Uni<Void> sendMessage(Member peer, List<StoredObject> changes) {
    PeerMessage.Objects message = new PeerMessage.Objects(changes, contactAge.getAsLong(), true);
    return network
        .sendRequest(peer, message, PUSH_TIMEOUT)
        .onFailure()
        .invoke(failure -> recordFailedPush(peer, message, failure))
        .replaceWithVoid();
  }

  private void recordFailedPush(Member peer, PeerMessage.Objects message, Throwable failure) {
    meters.count("retry.peer-objects");
    StoreRevision newest =
        message.objects().stream()
            .map(StoredObject::revision)
            .max(Comparator.naturalOrder())
            .orElse(StoreRevision.NONE);
    logger.atInfo().atMostEvery(FAILED_PUSH_LOG_INTERVAL_MILLIS, TimeUnit.MILLISECONDS).log(
        "push of %d objects up to revision %s to %s failed: %s",
        message.objects().size(), newest, peer.name(), failure.getMessage());
  }

  private Map<String, List<Member>> remotePeersByZone() {
    return membership.remotePeers().stream()
        .collect(Collectors.groupingBy(Member::zone, TreeMap::new, Collectors.toList()));
  }

  /** Returns a few random instances. */
  private List<Member> chooseReceivers(List<Member> candidates) {
    List<Member> chosen = new ArrayList<>();
    while (!candidates.isEmpty() && chosen.size() < REMOTE_RECEIVERS) {
      chosen.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return chosen;
  }
}
