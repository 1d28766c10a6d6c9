// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.ledger;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oatlug.api.ObjectKey;
import org.oatlug.internal.billing.Bill;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoredObject;

/** Reads the bills of all shards from the platform. Immutable, thread-safe as its platform is. */
public final class LedgerReader {
  private final Platform platform;

  private LedgerReader(Platform platform) {
    this.platform = platform;
  }

  /** Returns a reader of a platform. */
  public static LedgerReader of(Platform platform) {
    return new LedgerReader(platform);
  }

  /** Returns the bills of so many shards. */
  public Uni<List<Bill>> bills(int shards) {
    Uni<List<Bill>> all = Uni.createFrom().item(new ArrayList<>());
    for (int shard = 0; shard < shards; shard++) {
      ObjectKey key = ObjectKey.valueOf(Shard.KIND, Ledger.billShard(shard));
      all = all.onItem().transformToUni(bills -> readHead(key, bills));
    }
    return all;
  }

  private Uni<List<Bill>> readHead(ObjectKey key, List<Bill> bills) {
    return platform.get(key).onItem().transformToUni(found -> readSegments(found, bills));
  }

  private Uni<List<Bill>> readSegments(Optional<StoredObject> found, List<Bill> bills) {
    if (found.isEmpty()) {
      return Uni.createFrom().item(bills);
    }
    ShardHead head = parse(found.get(), ShardHead.class);
    addBills(head.entries(), bills);
    Uni<List<Bill>> all = Uni.createFrom().item(bills);
    for (ShardHead.Segment segment : head.segments()) {
      ObjectKey key = ObjectKey.valueOf(Shard.KIND, segment.name());
      all =
          all.onItem()
              .transformToUni(
                  sofar ->
                      platform.get(key).map(object -> addSegment(object.orElseThrow(), sofar)));
    }
    return all;
  }

  private static List<Bill> addSegment(StoredObject object, List<Bill> bills) {
    addBills(parse(object, ShardHead.SegmentContent.class).entries(), bills);
    return bills;
  }

  private static void addBills(List<LedgerEntry> entries, List<Bill> bills) {
    for (LedgerEntry entry : entries) {
      if (entry instanceof LedgerEntry.Billed billed) {
        bills.add(billed.bill());
      }
    }
  }

  static <T> T parse(StoredObject object, Class<T> type) {
    try {
      return Json.STRICT.treeToValue(object.value(), type);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(object.key().toString(), e);
    }
  }
}
