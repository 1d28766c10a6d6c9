// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.oatlug.test.RolloutSample.BOUNDS;
import static org.oatlug.test.RolloutSample.NEW;
import static org.oatlug.test.RolloutSample.OLD;
import static org.oatlug.test.RolloutSample.ROUTE;
import static org.oatlug.test.RolloutSample.SERVICE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.oatlug.api.ObjectKey;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.ServiceRollout;
import org.oatlug.gateway.ServiceRollout.State;
import org.oatlug.internal.gateway.GatewayTables;
import org.oatlug.internal.gateway.RolloutDirector;
import org.oatlug.internal.gateway.VersionRule;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Checks that the final state of a roll-out never changes, although several instances write it
 * concurrently, observe different responses and lose the responses to their writes.
 */
class RolloutRaceTest {
  private static final String SEED = "20261202";
  private static final ObjectKey KEY = ObjectKey.valueOf(GatewayKinds.ROLLOUT, SERVICE);
  private static final int INSTANCES = 3;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(300);

  /** An instance without known peers, so that each considers itself responsible for writes. */
  private static final class Instance {
    private final GatewayTables tables = GatewayTables.create(Instant::now);
    private final RolloutDirector director;

    Instance(int number, Platform platform, FakeClock clock) {
      String name = "i-" + number;
      Member self = new Member(name, "z", name, "127.0.0.1", 1, 1, 0, Member.State.ALIVE);
      director =
          RolloutDirector.create(
              tables,
              platform,
              Membership.create(self, clock, new Random(number)),
              clock,
              Meters.of(new MetricRegistry()),
              BOUNDS);
    }

    void recordResponses(String version, boolean failed, int count) {
      for (int number = 0; number < count; number++) {
        director.recordResponse(
            new VersionRule.Response(SERVICE, version, ROUTE, "", failed, Duration.ofMillis(50)));
      }
    }
  }

  private FakeClock clock;
  private FakePlatform platform;
  private List<Instance> instances;

  private void startRollout(FakePlatform store) {
    clock = new FakeClock();
    platform = store;
    instances = new ArrayList<>();
    platform.deferCalls(false);
    ServiceRollout rollout =
        new ServiceRollout(SERVICE, NEW, StoreRevision.ofNumber(1), 6000, Optional.empty());
    platform.put(KEY, StoreRevision.NONE, Json.STRICT.valueToTree(rollout)).await().indefinitely();
    for (int number = 0; number < INSTANCES; number++) {
      instances.add(new Instance(number, platform, clock));
    }
    instances.forEach(this::read);
  }

  /** Reads the store immediately, regardless of pending calls. */
  private StoredObject readStoredObject() {
    platform.deferCalls(false);
    StoredObject object = platform.get(KEY).await().indefinitely().orElseThrow();
    platform.deferCalls(true);
    return object;
  }

  private Optional<State> state() {
    try {
      return Json.STRICT.treeToValue(readStoredObject().value(), ServiceRollout.class).state();
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private void read(Instance instance) {
    instance.tables.mergeAll(List.of(readStoredObject()));
  }

  private static boolean isFinal(Optional<State> state) {
    return state.isPresent() && state.get() != State.RUNNING;
  }

  private void performAction(int action, Random random) {
    Instance selected = instances.get(random.nextInt(INSTANCES));
    switch (action) {
      case 0 -> selected.recordResponses(NEW, false, 12);
      case 1 -> selected.recordResponses(NEW, true, 4);
      case 2 -> selected.recordResponses(OLD, false, 12);
      case 3 -> read(selected);
      case 4, 5 -> deliver(random, action == 5);
      default -> {
        clock.advance(TICK_INTERVAL);
        instances.forEach(instance -> instance.director.tick());
      }
    }
  }

  private void deliver(Random random, boolean responseLost) {
    if (platform.pending() > 0) {
      platform.deliver(random.nextInt(platform.pending()), responseLost);
    }
  }

  @Property(seed = SEED, tries = 300)
  void testFinalStateOfRolloutNeverChanges(
      @ForAll @Size(max = 120) List<@IntRange(min = 0, max = 9) Integer> actions,
      @ForAll @IntRange(min = 0, max = 100_000) int randomSeed) {
    startRollout(FakePlatform.create());
    Random random = new Random(randomSeed);
    Optional<State> previousState = state();
    for (int action : actions) {
      performAction(action, random);
      Optional<State> currentState = state();
      if (isFinal(previousState)) {
        assertEquals(currentState, previousState);
      }
      previousState = currentState;
    }
    assertTrue(
        allInstancesFollowFinalState(),
        "the instances disagree on the final state of the roll-out");
  }

  /** Delivers all writes until the roll-out ends, then compares the instances' preferences. */
  private boolean allInstancesFollowFinalState() {
    for (int round = 0; round < 40 && !isFinal(state()); round++) {
      clock.advance(TICK_INTERVAL);
      instances.forEach(instance -> instance.director.tick());
      platform.deliverAll();
      instances.forEach(this::read);
    }
    platform.deliverAll();
    instances.forEach(this::read);
    State finalState = state().orElseThrow();
    boolean expectedPreference = finalState == State.SUCCEEDED;
    return instances.stream()
        .allMatch(instance -> preferenceOf(instance).wanted() == expectedPreference);
  }

  private static VersionRule.VersionPreference preferenceOf(Instance instance) {
    RequestHead head =
        new RequestHead(
            "id",
            "h",
            "/",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            OptionalLong.empty(),
            Optional.empty());
    return instance
        .director
        .preferenceFor(SERVICE, ROUTE, head, VersionRule.PriorAttempts.NONE)
        .orElseThrow();
  }
}
