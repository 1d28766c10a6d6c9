// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
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
 * every reachable instance. Owned by one event loop, not thread-safe.
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
    PeerMessage.Objects message = messageOf(changes);
    remoteReceivers().forEach(peer -> send(peer, message, () -> {}));
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
   * Sends changes to an instance of this zone, and to its children in the tree if it has died,
   * seems unresponsive or does not acknowledge them in time.
   *
   * @param peer the instance of this name, empty if it died since the trees were built
   */
  private void pushTo(
      BroadcastTrees pushTrees, String name, Optional<Member> peer, List<StoredObject> changes) {
    // If the peer did not relay them, its subtree would get the changes only by comparing digests.
    Runnable pushToSubtree =
        () -> push(pushTrees, changes, change -> pushTrees.childrenOf(change, name));
    if (peer.isEmpty()) {
      pushToSubtree.run();
    } else if (isProbablyUnresponsive(peer.get())) {
      send(peer.get(), messageOf(changes), () -> {});
      pushToSubtree.run();
    } else {
      send(peer.get(), messageOf(changes), pushToSubtree);
    }
  }

  private boolean isProbablyUnresponsive(Member peer) {
    return peer.state() == Member.State.SUSPECT || !membership.isReachable(peer);
  }

  private PeerMessage.Objects messageOf(List<StoredObject> changes) {
    return new PeerMessage.Objects(changes, contactAge.getAsLong(), true);
  }

  private void send(Member peer, PeerMessage.Objects message, Runnable onFailure) {
    network
        .sendRequest(peer, message, PUSH_TIMEOUT)
        .subscribe()
        .with(
            answer -> {},
            failure -> {
              recordFailedPush(peer, message, failure);
              onFailure.run();
            });
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

  /** Returns a few random live instances of each other zone, preferring reachable ones. */
  private List<Member> remoteReceivers() {
    Map<String, List<Member>> byZone =
        membership.remotePeers().stream()
            .collect(Collectors.groupingBy(Member::zone, TreeMap::new, Collectors.toList()));
    List<Member> receivers = new ArrayList<>();
    byZone.values().forEach(zone -> receivers.addAll(chooseReceivers(zone)));
    return receivers;
  }

  private List<Member> chooseReceivers(List<Member> zone) {
    List<Member> reachable = zone.stream().filter(membership::isReachable).toList();
    List<Member> candidates = new ArrayList<>(reachable.isEmpty() ? zone : reachable);
    List<Member> chosen = new ArrayList<>();
    while (!candidates.isEmpty() && chosen.size() < REMOTE_RECEIVERS) {
      chosen.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return chosen;
  }
}
