// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Kinds;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.engine.PrefillBacklog;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that the observed state of an upstream is discarded with its process, even if the next
 * process has the same name.
 *
 * <p>Guards against state that is keyed by the name alone: prompts are then sent to a restarted
 * process as if it still cached them, and it is ejected for the failures of its predecessor.
 */
public class UpstreamRestartTest {
  private static final String NAME = "i-1";

  private Instant now = Instant.parse("2026-12-03T12:00:00Z");
  private GatewayTables tables;
  private long revision;

  @BeforeMethod
  void setUp() {
    tables = GatewayTables.create(() -> now);
    revision = 0;
  }

  private static UpstreamRecord record() {
    return UpstreamRecord.of("pool", "127.0.0.1", 1, "here", "v1", 8, false);
  }

  private StoredObject stored(UpstreamRecord record) {
    ObjectKey key = ObjectKey.valueOf(GatewayKinds.UPSTREAM, NAME);
    return StoredObject.of(
        key, StoreRevision.ofNumber(++revision), Json.STRICT.valueToTree(record));
  }

  private UpstreamRow rowAfter(UpstreamRecord record) {
    tables.mergeAll(List.of(stored(record)));
    return tables.row(NAME);
  }

  /** Records every kind of observed state in the row. */
  private void recordState(UpstreamRow row) {
    row.rememberPrefix(7);
    row.markLeaving();
    row.reserve();
    tables.upstreamTable().report(NAME, 8, 30, false);
    for (int failure = 0; failure < 3; failure++) {
      row.recordFailure(now);
    }
  }

  private void assertInitialState(UpstreamRow row) {
    assertFalse(row.hasPrefix(7), "cached prefixes");
    assertFalse(row.isLeaving(), "leaving");
    assertFalse(row.isEjected(now), "ejected");
    assertEquals(row.failureShare(now), 0.0);
    assertEquals(row.inFlight(), 0);
    assertEquals(row.expectedLoad(), 0);
  }

  @Test
  public void testNewProcessOfTheSameNameHasInitialState() {
    UpstreamRow earlier = rowAfter(record().startedAt(1000));
    recordState(earlier);
    UpstreamRow later = rowAfter(record().startedAt(2000));
    assertNotSame(later, earlier);
    assertInitialState(later);
    assertNotEquals(later.process(), earlier.process());
  }

  @Test
  public void testEarlierStartTimeAlsoMeansAnotherProcess() {
    recordState(rowAfter(record().startedAt(2000)));
    assertInitialState(rowAfter(record().startedAt(1000)));
  }

  @Test
  public void testExpiredAndRestoredEntryIsIdentifiedByItsStartTime() {
    UpstreamRow earlier = rowAfter(record().startedAt(1000));
    recordState(earlier);
    ObjectKey key = ObjectKey.valueOf(GatewayKinds.UPSTREAM, NAME);
    tables.mergeAll(
        List.of(StoredObject.of(key, StoreRevision.ofNumber(++revision), Kinds.tombstone())));
    assertSame(rowAfter(record().startedAt(1000)), earlier, "the same process is registered again");
    tables.mergeAll(
        List.of(StoredObject.of(key, StoreRevision.ofNumber(++revision), Kinds.tombstone())));
    assertInitialState(rowAfter(record().startedAt(3000)));
  }

  @Test
  public void testStaleEntryOfTheEarlierProcessChangesNothing() {
    StoredObject earlierEntry = stored(record().startedAt(1000));
    tables.mergeAll(List.of(earlierEntry));
    UpstreamRow later = rowAfter(record().startedAt(2000));
    later.rememberPrefix(7);
    tables.mergeAll(List.of(earlierEntry));
    assertSame(tables.row(NAME), later);
    assertTrue(later.hasPrefix(7));
  }

  @Test
  public void testEntryWithoutStartTimeKeepsState() {
    UpstreamRow earlier = rowAfter(record());
    earlier.rememberPrefix(7);
    assertSame(rowAfter(record()), earlier);
    assertSame(rowAfter(record().startedAt(1000)), earlier, "the start time becomes known");
    assertSame(rowAfter(record()), earlier, "the start time is omitted again");
    assertTrue(earlier.hasPrefix(7));
  }

  @Test
  public void testLateReportAndResponseOfTheEarlierProcessAreIgnored() {
    UpstreamRow earlier = rowAfter(record().startedAt(1000));
    earlier.reserve();
    final UpstreamRow later = rowAfter(record().startedAt(2000));
    tables.upstreamTable().report(earlier, 8, 30, true);
    earlier.release();
    earlier.recordFailure(now);
    assertInitialState(later);
  }

  @Test
  public void testPeerReportsOfTheEarlierProcessDoNotApplyToTheNewOne() {
    UpstreamRow earlier = rowAfter(record().startedAt(1000));
    PrefillBacklog prefillBacklog = PrefillBacklog.create();
    prefillBacklog.begin(earlier.process(), 100);
    prefillBacklog.applyReported(Map.of(earlier.process(), 5000), now);
    UpstreamRow later = rowAfter(record().startedAt(2000));
    assertEquals(prefillBacklog.waitingMillis(later.process(), now), 0.0);
    prefillBacklog.begin(later.process(), 30);
    prefillBacklog.end(earlier.process(), 100);
    assertEquals(prefillBacklog.waitingMillis(later.process(), now), 30.0);
  }
}
