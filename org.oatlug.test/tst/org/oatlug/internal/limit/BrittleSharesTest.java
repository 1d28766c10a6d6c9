// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.function.Predicate;
import org.oatlug.internal.peer.Member;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that all instances together have no more places at a brittle upstream than it runs. */
public class BrittleSharesTest {
  private static final List<String> ZONES = List.of("hall-a", "hall-b", "hall-c");
  private static final int UPSTREAMS = 20;
  private static final double REJECTIONS = 5;

  private final VirtualTime time = new VirtualTime();

  @DataProvider
  Object[][] sizes() {
    return new Object[][] {{1, 6}, {7, 6}, {7, 32}, {61, 6}, {61, 12}, {95, 6}, {95, 32}};
  }

  private static String upstream(int number) {
    return "i-" + number + "@1";
  }

  private static String zoneOf(int number) {
    return ZONES.get(number % ZONES.size());
  }

  private static List<Member> members(int size) {
    List<Member> members = new ArrayList<>();
    for (int number = 0; number < size; number++) {
      String name = "entry-" + number;
      members.add(new Member(name, zoneOf(number), name, "127.0.0.1", 1, 1, 0, Member.State.ALIVE));
    }
    return members;
  }

  /** Returns the shares of an instance that sees the members to which the predicate applies. */
  private BrittleShares sharesOf(Member self, List<Member> members, Predicate<Member> sees) {
    List<Member> live = new ArrayList<>(members);
    RankedSenders senders = RankedSenders.create(self.name(), () -> live, () -> true, time);
    AdvertisedLimits advertised = AdvertisedLimits.ofRejections(time);
    for (int number = 0; number < UPSTREAMS; number++) {
      advertised.advertised(upstream(number), REJECTIONS);
    }
    senders.tick();
    live.removeIf(member -> !member.equals(self) && !sees.test(member));
    time.run(RankedSenders.SETTLING_TIME.plus(Duration.ofSeconds(1)));
    senders.tick();
    return BrittleShares.create(advertised, senders.ofBrittleUpstreams());
  }

  private static int totalShare(List<BrittleShares> shares, int upstream, int places) {
    return shares.stream()
        .map(each -> each.shareOf(upstream(upstream), zoneOf(upstream), places))
        .mapToInt(OptionalInt::orElseThrow)
        .sum();
  }

  @Test(dataProvider = "sizes")
  public void testSharesAreNoMoreThanPlaces(int size, int places) {
    List<Member> members = members(size);
    List<BrittleShares> shares =
        members.stream().map(self -> sharesOf(self, members, unused -> true)).toList();
    for (int number = 0; number < UPSTREAMS; number++) {
      int total = totalShare(shares, number, places);
      assertTrue(total <= places, total + " shares of " + places + " places");
      assertTrue(2 * total > places || size == 1, total + " shares of " + places + " places");
    }
  }

  @Test(dataProvider = "sizes")
  public void testInstancesThatHearNobodyHaveNoPlaces(int size, int places) {
    List<Member> members = members(size);
    if (size == 1) {
      return;
    }
    List<BrittleShares> shares =
        members.stream().map(self -> sharesOf(self, members, unused -> false)).toList();
    for (int number = 0; number < UPSTREAMS; number++) {
      int total = totalShare(shares, number, places);
      assertTrue(total <= places, total + " shares of " + places + " places");
    }
  }

  @Test
  public void testPartitionedZoneUsesItsOwnUpstreams() {
    List<Member> members = members(9);
    List<BrittleShares> shares =
        members.stream()
            .filter(self -> self.zone().equals("hall-a"))
            .map(self -> sharesOf(self, members, member -> member.zone().equals("hall-a")))
            .toList();
    assertEquals(totalShare(shares, 0, 6), 6);
    assertEquals(totalShare(shares, 1, 6), 0);
  }

  @Test
  public void testUpstreamThatIsNotBrittleHasNoShares() {
    List<Member> members = members(7);
    BrittleShares shares = sharesOf(members.get(0), members, unused -> true);
    assertEquals(shares.shareOf("other@1", "hall-a", 6), OptionalInt.empty());
  }
}
