// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.List;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Kinds;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against work that grows with the number of changes, and against lost pushes. */
public class PushQueueTest {
  private static final int BURST = 40;
  private static final int MAXIMUM_ATTEMPTS = 3;

  private final List<List<StoredObject>> pushes = new ArrayList<>();
  private final List<UniEmitter<? super Void>> outcomes = new ArrayList<>();
  private PushQueue queue;

  @BeforeMethod
  void create() {
    pushes.clear();
    outcomes.clear();
    queue = PushQueue.create(this::push);
  }

  private Uni<Void> push(List<StoredObject> objects) {
    pushes.add(objects);
    return Uni.createFrom().emitter(outcomes::add);
  }

  private static StoredObject object(String name, long revision) {
    ObjectKey key = ObjectKey.valueOf(GatewayKinds.ROUTING, name);
    return StoredObject.of(key, StoreRevision.ofNumber(revision), Kinds.tombstone());
  }

  private void add(StoredObject object) {
    queue.add(List.of(object), failed -> {});
  }

  private void acknowledge() {
    outcomes.remove(0).complete(null);
  }

  private void fail() {
    outcomes.remove(0).fail(new IllegalStateException("no response"));
  }

  @Test
  public void testBurstOfChangesTakesTwoPushes() {
    for (int revision = 1; revision <= BURST; revision++) {
      add(object("main", revision));
    }
    acknowledge();
    acknowledge();
    assertEquals(pushes, List.of(List.of(object("main", 1)), List.of(object("main", BURST))));
    assertTrue(queue.isIdle());
  }

  @Test
  public void testFailedPushIsRepeatedUntilAcknowledged() {
    add(object("main", 1));
    fail();
    assertTrue(queue.isFailing());
    queue.tick();
    acknowledge();
    assertEquals(pushes.size(), 2);
    assertFalse(queue.isFailing());
    assertTrue(queue.isIdle());
  }

  @Test
  public void testPushToLostInstanceEndsAfterMaximumAttempts() {
    add(object("main", 1));
    for (int attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt++) {
      fail();
      queue.tick();
    }
    assertEquals(pushes.size(), MAXIMUM_ATTEMPTS);
  }

  /** The objects that wait behind a failed push would otherwise wait for a failure of their own. */
  @Test
  public void testFirstFailureCoversWaitingObjects() {
    List<StoredObject> rerouted = new ArrayList<>();
    queue.add(List.of(object("main", 1)), rerouted::addAll);
    queue.add(List.of(object("other", 2)), rerouted::addAll);
    fail();
    queue.tick();
    fail();
    assertEquals(rerouted, List.of(object("main", 1), object("other", 2)));
  }

  @Test
  public void testNewerStateReplacesFailedOne() {
    add(object("main", 1));
    add(object("main", 2));
    fail();
    queue.tick();
    assertEquals(pushes.get(1), List.of(object("main", 2)));
  }

  @Test
  public void testObjectInFlightIsNotSentAgain() {
    add(object("main", 1));
    add(object("main", 1));
    acknowledge();
    assertEquals(pushes.size(), 1);
    assertTrue(queue.isIdle());
  }
}
