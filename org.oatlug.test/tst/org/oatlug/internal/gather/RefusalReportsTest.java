// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.oatlug.internal.gather.LoadReport.RefusedRequest;
import org.oatlug.internal.gather.StateExchangeFleet.Instance;
import org.oatlug.internal.limit.RefusalRecords;
import org.oatlug.internal.util.Json;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the exchange of refusals between instances, in virtual time. */
public class RefusalReportsTest {
  private static final Duration DELAY = Duration.ofSeconds(2);

  /** Numbers of instances, in three zones. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{30}, {95}, {1300}};
  }

  private static StateReport reportOf(int instance, Instant now) {
    RefusalRecords records = RefusalRecords.create(() -> {});
    IntStream.range(0, 100)
        .forEach(number -> records.add(1000L * instance + number, now.plus(DELAY), now));
    return StateReport.ofLoad(LoadReport.ofRefused(RefusalReports.reportOf(records, now)));
  }

  /** Guards against records and messages that grow with the number of instances. */
  @Test(dataProvider = "sizes")
  public void testRecordsStayWithinTheirLimit(int count) throws IOException {
    Instant now = new VirtualTime().instant();
    ReportAggregator own = ReportAggregator.create();
    ReportAggregator other = ReportAggregator.create();
    for (int instance = 0; instance < count; instance++) {
      StateReport report = reportOf(instance, now.minusMillis(instance % 7));
      assertEquals(report.load().refused().size(), LoadReport.MAXIMUM_OWN_REFUSED);
      (instance % 3 == 0 ? own : other).putInstance("p-" + instance, report, now);
    }
    own.putZone("other", other.sumOfZone(now), now);
    Instant later = now.plusMillis(400);
    StateReport sum = own.sumExcept("p-0", later);
    assertEquals(sum.load().refused().size(), LoadReport.MAXIMUM_REFUSED);
    assertTrue(sum.load().refused().stream().noneMatch(entry -> entry.content() < 1000));
    assertTrue(sum.load().refused().stream().allMatch(entry -> entry.ageMillis() >= 400));
    assertEquals(sum.problem(), Optional.empty());
    byte[] encoded = Json.MESSAGE_PACK.writeValueAsBytes(sum.load());
    assertTrue(encoded.length < 5000, encoded.length + " bytes");
    assertEquals(Json.MESSAGE_PACK.readValue(encoded, LoadReport.class), sum.load());
    Instant expired = now.plus(DELAY).plus(RefusalRecords.VALIDITY).plusMillis(1);
    assertEquals(own.sumExcept("p-0", expired).load().refused(), List.of());
  }

  /** Guards against reports that fill the memory of a receiver, and those of earlier versions. */
  @Test
  public void testInvalidRefusalsAreRejectedAndMissingOnesAreNone() throws IOException {
    List<RefusedRequest> many =
        IntStream.range(0, 257).mapToObj(number -> new RefusedRequest(number, 1, 1)).toList();
    assertTrue(LoadReport.ofRefused(many).problem().isPresent());
    assertEquals(LoadReport.ofRefused(many).bounded().problem(), Optional.empty());
    for (int until : new int[] {-5001, 30_001}) {
      assertTrue(
          LoadReport.ofRefused(List.of(new RefusedRequest(1, until, 1))).problem().isPresent());
    }
    assertTrue(LoadReport.ofRefused(List.of(new RefusedRequest(1, 1, -1))).problem().isPresent());
    byte[] earlier = Json.MESSAGE_PACK.writeValueAsBytes(Map.of("paces", Map.of()));
    assertEquals(Json.MESSAGE_PACK.readValue(earlier, LoadReport.class).refused(), List.of());
  }

  /** Returns instances that report pending prompts, as those that refuse requests do. */
  private static StateExchangeFleet busyFleet() {
    StateExchangeFleet fleet = StateExchangeFleet.of(3, 10, 8);
    fleet.instances().forEach(instance -> instance.openMillis.put("i-1", 5));
    return fleet;
  }

  /** Guards against refusals that raise the number of messages. */
  @Test
  public void testRetryIsKnownElsewhereWithoutFurtherMessages() {
    StateExchangeFleet without = busyFleet();
    without.run(Duration.ofSeconds(4));
    StateExchangeFleet fleet = busyFleet();
    RefusalRecords refusing = RefusalRecords.create(() -> {});
    Instance refusingInstance = fleet.instances().get(3);
    refusingInstance.load =
        () -> LoadReport.ofRefused(RefusalReports.reportOf(refusing, fleet.clock().instant()));
    RefusalRecords elsewhere = RefusalRecords.create(() -> {});
    fleet.instances().get(25).listener =
        report -> RefusalReports.apply(report.load(), elsewhere, fleet.clock().instant());
    Instant start = fleet.clock().instant();
    refusing.add(7, start.plus(DELAY), start);
    fleet.run(DELAY.minusMillis(200));
    assertFalse(elsewhere.use(7, fleet.clock().instant()), "too early");
    fleet.run(Duration.ofMillis(200));
    assertTrue(elsewhere.use(7, fleet.clock().instant()));
    assertEquals(refusingInstance.others.load().refused(), List.of(), "it knows its own");
    fleet.run(DELAY);
    assertTrue(fleet.messages() <= without.messages(), fleet.messages() + " messages");
  }
}
