// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Shows what an instance tells its peers of open prompts, and that this is bounded. */
public class OpenReadingSystemTest {
  private static final String OWN_ZONE = "here";
  private static final String OTHER_ZONE = "there";
  private static final int SECONDS = 10;
  private static final int TICKS_PER_SECOND = 50;

  private Instant now;
  private OpenReading reading;
  private EngineSpeeds speeds;
  private Map<String, List<PeerMessage.OpenPrompts>> told;

  @BeforeMethod
  void begin() {
    now = Instant.parse("2026-12-02T12:00:00Z");
    reading = OpenReading.create();
    speeds = EngineSpeeds.create();
    told = new HashMap<>();
  }

  private static Member member(String name, String zone) {
    return new Member(name, zone, "rack", "127.0.0.1", 1, 1, 0, Member.State.ALIVE);
  }

  private PeerNetwork network() {
    return (peer, message, patience) -> {
      told.computeIfAbsent(peer.name(), unused -> new ArrayList<>())
          .add((PeerMessage.OpenPrompts) message);
      return Uni.createFrom().item(new PeerMessage.Done());
    };
  }

  private OpenReadingSystem among(int near, int far) {
    Member self = member("self", OWN_ZONE);
    Membership membership = Membership.create(self, () -> now, new Random(1));
    List<Member> peers = new ArrayList<>();
    for (int number = 0; number < near; number++) {
      peers.add(member("near-" + number, OWN_ZONE));
    }
    for (int number = 0; number < far; number++) {
      peers.add(member("far-" + number, OTHER_ZONE));
    }
    membership.handle(self, new PeerMessage.Ping(peers));
    assertEquals(membership.live().size(), 1 + near + far);
    Meters meters = Meters.of(new MetricRegistry());
    return OpenReadingSystem.create(reading, speeds, membership, network(), () -> now, meters);
  }

  private void run(OpenReadingSystem system, boolean changing) {
    for (int tick = 0; tick < SECONDS * TICKS_PER_SECOND; tick++) {
      if (changing) {
        reading.begin("i-1", 10 + tick);
      }
      system.tick();
      now = now.plus(Duration.ofSeconds(1).dividedBy(TICKS_PER_SECOND));
    }
  }

  private int messages() {
    return told.values().stream().mapToInt(List::size).sum();
  }

  @Test
  public void testMessagesAreBoundedWhateverChanges() {
    run(among(1, 4), true);
    assertTrue(messages() <= 20 * SECONDS, "messages " + messages());
    assertTrue(told.get("near-0").size() >= 2 * SECONDS, "the own zone knows soon");
    assertTrue(told.get("far-0").size() >= 2 * SECONDS, "so do the others");
  }

  @Test
  public void testNothingIsToldAmongSoManyThatItWouldBeOld() {
    run(among(30, 60), true);
    assertEquals(messages(), 0);
  }

  @Test
  public void testWhatDoesNotChangeIsToldAgainBeforeItIsForgotten() {
    reading.begin("i-1", 300);
    run(among(1, 0), false);
    int most = (int) (2 * SECONDS / OpenReading.VALID.toSeconds()) + 1;
    assertTrue(told.get("near-0").size() >= SECONDS / OpenReading.VALID.toSeconds());
    assertTrue(told.get("near-0").size() <= most, "messages " + messages());
    assertEquals(told.get("near-0").get(0).millisByUpstream(), Map.of("i-1", 300));
  }

  @Test
  public void testPeersLearnWhatWasMeasuredElsewhere() {
    OpenReadingSystem system = among(1, 0);
    ReadingLine line = new ReadingLine(20, 0.3);
    system.handle(
        member("near-0", OWN_ZONE),
        new PeerMessage.OpenPrompts(Map.of("i-1", 70), Map.of("large", line)));
    assertEquals(reading.waitingMillis("i-1", now), 70.0);
    assertEquals(speeds.lineOf("large"), line);
  }
}
