// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.Random;
import org.oatlug.errors.PeerUnavailableException;
import org.oatlug.internal.crash.CrashLedger;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against an instance that serves without the crash records of the others, because its event
 * loop lagged while it started and its own queries therefore timed out.
 */
public class StartupCrashQueryTest {
  private final VirtualTime time = new VirtualTime();
  private final Queue<Runnable> failures = new ArrayDeque<>();
  private StartupCrashQuery query;

  @BeforeMethod
  void create() {
    failures.clear();
    Membership membership = Membership.create(member("self"), time, new Random(1));
    membership.merge(member("peer"));
    query =
        StartupCrashQuery.create(
            membership,
            (peer, message, timeout) ->
                Uni.createFrom()
                    .<PeerMessage>emitter(
                        emitter ->
                            failures.add(
                                () -> emitter.fail(new PeerUnavailableException(peer.name())))),
            time,
            CrashLedger.create(time));
    query.askPeers();
  }

  private static Member member(String name) {
    int port = name.length();
    return new Member(name, "zone", name, "127.0.0.1", port, 1, 0, Member.State.ALIVE);
  }

  private void failAfter(Duration delay) {
    time.run(delay);
    failures.remove().run();
  }

  @Test
  public void testQueryThatTimedOutLateIsSentAgainBeforeTheInstanceServes() {
    failAfter(Duration.ofMillis(1000));
    assertTrue(query.isOutstanding(), "the timeout of a lagging event loop counts");
    query.askPeers();
    assertEquals(failures.size(), 1, "the query is not sent again");
    failAfter(Duration.ofMillis(400));
    assertFalse(query.isOutstanding());
  }

  /** Without this, an instance whose peers are all gone would start late. */
  @Test
  public void testRefusedConnectionShowsThatNobodyResponds() {
    failAfter(Duration.ofMillis(5));
    assertFalse(query.isOutstanding());
  }
}
