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

/** Reads the bills of all shards from the platform. Immutable, as thread-safe as its platform. */
public final class LedgerReader {
  private final Platform platform;

  private LedgerReader(Platform platform) {
    this.platform = platform;
  }

  /** Creates a reader of a platform. */
  public static LedgerReader of(Platform platform) {
    return new LedgerReader(platform);
  }

  /** Returns the bills of the first {@code shards} bill shards. */
  public Uni<List<Bill>> bills(int shards) {
    Uni<List<Bill>> result = Uni.createFrom().item(new ArrayList<>());
    for (int shard = 0; shard < shards; shard++) {
      ObjectKey key = ObjectKey.valueOf(Shard.KIND, Ledger.billShard(shard));
      result = result.onItem().transformToUni(bills -> readHead(key, bills));
    }
    return result;
  }

  private Uni<List<Bill>> readHead(ObjectKey key, List<Bill> bills) {
    return platform.get(key).onItem().transformToUni(storedHead -> readSegments(storedHead, bills));
  }

  private Uni<List<Bill>> readSegments(Optional<StoredObject> storedHead, List<Bill> bills) {
    if (storedHead.isEmpty()) {
      return Uni.createFrom().item(bills);
    }
    ShardHead head = parse(storedHead.get(), ShardHead.class);
    addBills(head.entries(), bills);
    Uni<List<Bill>> result = Uni.createFrom().item(bills);
    for (ShardHead.Segment segment : head.segments()) {
      ObjectKey key = ObjectKey.valueOf(Shard.KIND, segment.name());
      result =
          result
              .onItem()
              .transformToUni(
                  collected ->
                      platform.get(key).map(object -> addSegment(object.orElseThrow(), collected)));
    }
    return result;
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
