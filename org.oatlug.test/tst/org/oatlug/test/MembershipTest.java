// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.oatlug.errors.PeerUnavailableException;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;

/** Verifies failure detection under reordered records, crashes, pauses and partitions. */
class MembershipTest {
  private static final String SEED = "20261202";
  private static final Duration TICK = Duration.ofMillis(100);

  private final FakeClock clock = new FakeClock();
  private final Map<String, Membership> running = new TreeMap<>();
  private final Set<String> unresponsive = new HashSet<>();
  private final Set<String> late = new HashSet<>();

  private static Member member(String name, String zone, long epoch) {
    return new Member(name, zone, "rack-" + name, "127.0.0.1", 1, epoch, 0, Member.State.ALIVE);
  }

  private Membership start(String name, String zone, long epoch) {
    Membership membership =
        Membership.create(member(name, zone, epoch), clock, new Random(name.hashCode()));
    membership.connect(networkOf(name));
    running.put(name, membership);
    return membership;
  }

  /** Delivers immediately; an unresponsive instance neither sends nor receives. */
  private PeerNetwork networkOf(String from) {
    return (peer, message, timeout) -> {
      Membership target = running.get(peer.name());
      if (target == null || unresponsive.contains(peer.name()) || unresponsive.contains(from)) {
        return Uni.createFrom()
            .failure(
                late.contains(from)
                    ? PeerUnavailableException.duringOwnDelay(peer.name())
                    : new PeerUnavailableException(peer.name()));
      }
      return target.handle(running.get(from).self(), message);
    };
  }

  private void startThree() {
    for (String name : List.of("a", "b", "c")) {
      Membership membership = start(name, "hall-a", 1);
      running.values().forEach(other -> other.merge(membership.self()));
      running.values().forEach(other -> membership.merge(other.self()));
    }
  }

  private void run(int ticks) {
    for (int tick = 0; tick < ticks; tick++) {
      clock.advance(TICK);
      running.forEach(
          (name, membership) -> {
            if (!unresponsive.contains(name)) {
              membership.tick();
            }
          });
    }
  }

  private Member.State stateAt(String observer, String subject) {
    return running.get(observer).all().stream()
        .filter(member -> member.name().equals(subject))
        .findFirst()
        .orElseThrow()
        .state();
  }

  @Property(seed = SEED)
  void testRecordsMergeToSameResultInAnyOrder(@ForAll Random random) {
    List<Member> records = new ArrayList<>();
    for (int number = 0; number < 12; number++) {
      Member.State[] states = Member.State.values();
      Member record = member("x", "hall-a", 1 + random.nextInt(3));
      for (int times = random.nextInt(3); times > 0; times--) {
        record = record.refuting(record.incarnation(), Member.State.ALIVE);
      }
      records.add(record.withState(states[random.nextInt(states.length)]));
    }
    Member first = mergedRecord(records);
    Collections.shuffle(records, random);
    assertEquals(mergedRecord(records), first);
  }

  private Member mergedRecord(List<Member> records) {
    Membership membership = Membership.create(member("me", "hall-a", 1), clock, new Random(1));
    records.forEach(membership::merge);
    return membership.all().stream()
        .filter(member -> member.name().equals("x"))
        .findFirst()
        .orElseThrow();
  }

  /** An unresponsive instance is suspected, then declared dead; its resources get new owners. */
  @Example
  void testUnresponsiveInstanceIsDeclaredDead() {
    startThree();
    run(20);
    assertEquals(stateAt("a", "c"), Member.State.ALIVE);
    unresponsive.add("c");
    run(80);
    assertEquals(stateAt("a", "c"), Member.State.DEAD);
    assertEquals(stateAt("b", "c"), Member.State.DEAD);
    assertTrue(running.get("a").isGone("c@1"));
    for (String resource : List.of("one", "two", "three", "four")) {
      String owner = running.get("a").ownerOf(resource).orElseThrow().name();
      assertEquals(running.get("b").ownerOf(resource).orElseThrow().name(), owner);
      assertFalse(owner.equals("c"));
    }
  }

  /** Guards against an instance that takes its own event-loop lag for the failure of others. */
  @Example
  void testTimeoutsDuringOwnLagAreNoEvidence() {
    startThree();
    late.add("a");
    unresponsive.addAll(Set.of("b", "c"));
    run(80);
    assertEquals(stateAt("a", "b"), Member.State.ALIVE);
    assertTrue(running.get("a").isReachable(running.get("b").self()));
    Membership observer = running.get("a");
    observer.useTimeoutRule(timeout -> () -> !late.contains("a"));
    observer.merge(running.get("c").self().withState(Member.State.SUSPECT));
    run(30);
    assertEquals(stateAt("a", "c"), Member.State.SUSPECT, "a refutation may wait unread");
    late.clear();
    run(30);
    assertEquals(stateAt("a", "c"), Member.State.DEAD);
  }

  /** A paused instance that resumes refutes its death. */
  @Example
  void testResumedInstanceRefutesItsDeath() {
    startThree();
    unresponsive.add("c");
    run(80);
    unresponsive.remove("c");
    run(60);
    assertEquals(stateAt("a", "c"), Member.State.ALIVE);
    assertEquals(stateAt("b", "c"), Member.State.ALIVE);
  }

  /** A restarted process replaces the old one, whose records are then ignored. */
  @Example
  void testRestartedProcessReplacesOldOne() {
    startThree();
    Member old = running.get("c").self();
    start("c", "hall-a", 2).merge(running.get("a").self());
    run(40);
    running.get("a").merge(old.withState(Member.State.DEAD));
    assertEquals(stateAt("a", "c"), Member.State.ALIVE);
    assertTrue(running.get("a").isGone("c@1"));
    assertFalse(running.get("a").isGone("c@2"));
  }

  /**
   * An unresponsive instance of another zone is not declared dead. It counts as lost for an
   * instance that keeps asking about it, which makes that instance probe it.
   */
  @Example
  void testUnresponsiveRemoteInstanceIsLostAndNotDead() {
    startThree();
    Membership remote = start("far", "hall-b", 1);
    running.get("a").merge(remote.self());
    unresponsive.add("far");
    for (int second = 0; second < 15; second++) {
      running.get("a").isUnresponsiveOrGone("far@1");
      run(10);
    }
    assertTrue(running.get("a").isUnresponsiveOrGone("far@1"));
    assertFalse(running.get("a").isGone("far@1"));
    assertEquals(stateAt("a", "far"), Member.State.ALIVE);
  }

  /** Two instances of a zone read the store, and all instances agree on them. */
  @Example
  void testInstancesAgreeOnTwoReaders() {
    startThree();
    long readers = running.values().stream().filter(Membership::isReader).count();
    assertEquals(readers, 2L);
    Membership follower =
        running.values().stream().filter(member -> !member.isReader()).findFirst().orElseThrow();
    String parent = follower.parent().orElseThrow().name();
    assertTrue(running.get(parent).isReader());
    assertTrue(
        follower.handle(running.get(parent).self(), new PeerMessage.Ping(List.of())) != null);
  }
}
