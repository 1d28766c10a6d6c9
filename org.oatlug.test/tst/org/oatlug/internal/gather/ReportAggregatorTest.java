// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.oatlug.internal.engine.PrefillBacklog;
import org.oatlug.internal.rollout.ComparedPairs;
import org.oatlug.internal.rollout.PairCounts;
import org.oatlug.internal.rollout.VersionEvidence;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;

/** Verifies that aggregates do not depend on the order or repetition of reports. */
class ReportAggregatorTest {
  private static final String SEED = "20261202";

  private static final LoadReport.WorkspaceLoad LOAD = new LoadReport.WorkspaceLoad(3, 4);

  private final Instant now = Instant.parse("2026-12-02T12:00:00Z");

  private static StateReport report(long orderedAt, long worse, int openMillis) {
    PairCounts failures = new PairCounts(worse, worse / 2);
    ComparedPairs pairs = new ComparedPairs(failures, PairCounts.NONE, PairCounts.NONE);
    VersionEvidence evidence =
        new VersionEvidence(
            "pool", "v2", StoreRevision.ofNumber(orderedAt), pairs, 2 * worse, false, 0, 1);
    return new StateReport(
        Map.of("i-1", openMillis), List.of(evidence), Map.of(), Map.of(), Map.of());
  }

  /** A report of a process, with a number of worse pairs that grows with each state. */
  private record ProcessReport(String process, long worse) {}

  @Property(seed = SEED)
  void testEvidenceIsSumOfLatestStatesInAnyOrder(
      @ForAll @IntRange(min = 1, max = 8) int processes, @ForAll Random random) {
    List<ProcessReport> reports = new ArrayList<>();
    long expected = 0;
    for (int process = 0; process < processes; process++) {
      long worse = 0;
      for (int state = 0; state <= random.nextInt(4); state++) {
        worse += random.nextInt(5);
        reports.add(new ProcessReport("p-" + process, worse));
        reports.add(new ProcessReport("p-" + process, worse));
      }
      expected += worse;
    }
    Collections.shuffle(reports, random);
    ReportAggregator aggregator = ReportAggregator.create();
    for (ProcessReport sent : reports) {
      aggregator.putInstance(sent.process(), report(7, sent.worse(), 0), now);
    }
    assertEquals(aggregator.sumOfZone(now).worsePairs(), expected);
    assertEquals(aggregator.sumExcept("nobody", now).worsePairs(), expected);
  }

  @Example
  void testPendingPromptsAreReplacedExpireAndExcludeTheRequester() {
    ReportAggregator aggregator = ReportAggregator.create();
    aggregator.putInstance("a", report(7, 0, 50), now);
    aggregator.putInstance("a", report(7, 0, 20), now);
    aggregator.putInstance("b", report(7, 0, 3), now);
    aggregator.putZone("there", report(7, 0, 100), now);
    assertEquals(aggregator.sumOfZone(now).openMillis(), Map.of("i-1", 23));
    assertEquals(aggregator.sumExcept("a", now).openMillis(), Map.of("i-1", 103));
    Instant later = now.plus(PrefillBacklog.VALIDITY).plusMillis(1);
    assertEquals(aggregator.sumExcept("a", later).openMillis(), Map.of());
    assertEquals(aggregator.sumExcept("a", later).evidence().size(), 1, "evidence is retained");
    Instant muchLater = now.plus(ReportAggregator.EVIDENCE_VALIDITY).plusMillis(1);
    assertEquals(aggregator.sumExcept("a", muchLater).evidence(), List.of());
  }

  @Example
  void testEvidenceOfEarlierRolloutOrderIsDropped() {
    ReportAggregator aggregator = ReportAggregator.create();
    aggregator.putInstance("a", report(7, 40, 0), now);
    aggregator.putInstance("b", report(9, 2, 0), now);
    assertEquals(aggregator.sumOfZone(now).worsePairs(), 2);
    aggregator.putInstance("a", report(9, 1, 0), now);
    assertEquals(aggregator.sumOfZone(now).worsePairs(), 3);
  }

  /** Guards against a sum at a collector of many instances that is not that of all others. */
  @Example
  void testLoadOfManyInstancesExcludesTheRequester() {
    ReportAggregator aggregator = ReportAggregator.create();
    for (int number = 0; number < 100; number++) {
      Map<String, LoadReport.WorkspaceLoad> workspaces =
          Map.of("desk", new LoadReport.WorkspaceLoad(1, 2), "only-" + number % 50, LOAD);
      LoadReport load = new LoadReport(Map.of(), workspaces, Map.of("pool/0", 5), 1);
      aggregator.putInstance("p-" + number, StateReport.ofLoad(load), now);
    }
    LoadReport others = aggregator.sumExcept("p-7", now).load();
    assertEquals(others.workspaces().get("desk"), new LoadReport.WorkspaceLoad(99, 198));
    assertEquals(others.workspaces().get("only-7"), LOAD);
    assertEquals(others.workspaces().get("only-8"), LOAD.plus(LOAD));
    assertEquals(others.workByRank(), Map.of("pool/0", 495));
    assertEquals(others.reporters(), 99);
  }

  /** Guards against reports that take more than 2 KB, or that the receiver cannot decode. */
  @Example
  void testReportOfManyWorkspacesIsShort() throws IOException {
    Map<String, LoadReport.WorkspaceLoad> workspaces = new TreeMap<>();
    for (int number = 0; number < 100; number++) {
      workspaces.put("workspace-" + number, LoadReport.WorkspaceLoad.rounded(12_345.6, number));
    }
    LoadReport report = new LoadReport(Map.of(), workspaces, Map.of(), 1).bounded();
    byte[] encoded = Json.MESSAGE_PACK.writeValueAsBytes(report);
    assertTrue(encoded.length < 2048, encoded.length + " bytes");
    assertEquals(Json.MESSAGE_PACK.readValue(encoded, LoadReport.class), report);
    byte[] earlier = Json.MESSAGE_PACK.writeValueAsBytes(Map.of("workspaces", Map.of()));
    assertEquals(Json.MESSAGE_PACK.readValue(earlier, LoadReport.class), LoadReport.EMPTY);
  }

  /** Without this a refuted version would not be pushed, or be pushed again on each tick. */
  @Example
  void testNumberOfRefutedVersionsIsThatOfTheAggregate() {
    ReportAggregator aggregator = ReportAggregator.create();
    assertEquals(aggregator.refuted(now), 0);
    aggregator.putInstance("p-1", report(1, 2, 0), now);
    aggregator.putZone("z", report(1, 2, 0), now);
    assertEquals(aggregator.refuted(now), 0);
    aggregator.putInstance("p-2", refuted(1), now);
    assertEquals(aggregator.refuted(now), 1);
    aggregator.putZone("z", refuted(1), now);
    assertEquals(aggregator.refuted(now), 1);
    Instant expired = now.plus(ReportAggregator.EVIDENCE_VALIDITY).plusMillis(1);
    assertEquals(aggregator.refuted(expired), 0);
    aggregator.putInstance("p-3", report(2, 1, 0), now);
    assertEquals(aggregator.refuted(now), 0, "a later order replaces the refuted one");
  }

  private static StateReport refuted(long orderedAt) {
    VersionEvidence evidence =
        new VersionEvidence(
            "pool", "v2", StoreRevision.ofNumber(orderedAt), ComparedPairs.NONE, 0, true, 0, 1);
    return new StateReport(Map.of(), List.of(evidence), Map.of(), Map.of(), Map.of());
  }
}
