// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntConsumer;
import java.util.function.IntFunction;
import org.oatlug.api.ObjectKey;
import org.oatlug.internal.billing.Bill;
import org.oatlug.internal.config.Catalogue;
import org.oatlug.internal.ledger.LedgerEntry;
import org.oatlug.internal.ledger.Shard;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.table.UpstreamTable;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreEpoch;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * The slopes of {@code docs/CAPACITY.md}: memory, processor time and bytes of the real code at
 * several sizes, with a straight line fitted. Used from one thread.
 */
public final class CapacitySlopes {
  private static final int[] SIZES = {1000, 4000, 16000};
  private static final int[] MEMBERS = {20, 80, 320};
  private static final int REPEATS = 5;
  private static final Duration FLUSH = Duration.ofMillis(283);
  private static final int HEAD_BYTES = 64 * 1024;
  private static final Map<Integer, Catalogue> CHANGED = new HashMap<>();
  private static final long BORN = new VirtualTime().instant().toEpochMilli();

  private CapacitySlopes() {}

  /** Measures and prints all slopes. */
  public static void main(String[] arguments) throws JsonProcessingException {
    System.out.printf("%-44s %10s %12s %12s%n", "what", "size", "measured", "unit");
    memory("catalogue: memory of objects", SIZES, CapacitySlopes::catalogue);
    memory("ledger: memory of claims", SIZES, CapacitySlopes::claimed);
    memory("ledger: memory of bills", SIZES, CapacitySlopes::billed);
    memory("upstream table: memory of rows", SIZES, CapacitySlopes::upstreams);
    memory("membership: memory of members", MEMBERS, CapacitySlopes::membership);
    time("catalogue: time to merge", SIZES, size -> catalogue(size));
    time("catalogue: time of one change", SIZES, CapacitySlopes::changeOne);
    time("ledger: time of a batch of claims", SIZES, CapacitySlopes::claimed);
    time("membership: time of ticks", MEMBERS, CapacitySlopes::tickMembership);
    bytes();
  }

  private static void memory(String what, int[] sizes, IntFunction<Object> make) {
    double[] measured = new double[sizes.length];
    for (int index = 0; index < sizes.length; index++) {
      Object[] kept = new Object[REPEATS];
      long before = used();
      for (int repeat = 0; repeat < REPEATS; repeat++) {
        kept[repeat] = make.apply(sizes[index]);
      }
      measured[index] = (double) (used() - before) / REPEATS;
      System.out.printf("%-44s %10d %12.0f %12s%n", what, sizes[index], measured[index], "byte");
      if (kept[0] == null) {
        throw new IllegalStateException(what);
      }
    }
    slope(what, sizes, measured, "byte each");
  }

  private static void time(String what, int[] sizes, IntConsumer run) {
    double[] measured = new double[sizes.length];
    for (int warm = 0; warm < REPEATS; warm++) {
      run.accept(sizes[0]);
    }
    for (int index = 0; index < sizes.length; index++) {
      double best = Double.POSITIVE_INFINITY;
      for (int repeat = 0; repeat < REPEATS; repeat++) {
        long start = System.nanoTime();
        run.accept(sizes[index]);
        best = Math.min(best, (System.nanoTime() - start) / 1e3);
      }
      measured[index] = best;
      System.out.printf("%-44s %10d %12.0f %12s%n", what, sizes[index], best, "us");
    }
    slope(what, sizes, measured, "us each");
  }

  /** Prints the slope of the least squares line. */
  private static void slope(String what, int[] sizes, double[] measured, String unit) {
    double meanSize = 0;
    double mean = 0;
    for (int index = 0; index < sizes.length; index++) {
      meanSize += (double) sizes[index] / sizes.length;
      mean += measured[index] / sizes.length;
    }
    double above = 0;
    double below = 0;
    for (int index = 0; index < sizes.length; index++) {
      above += (sizes[index] - meanSize) * (measured[index] - mean);
      below += (sizes[index] - meanSize) * (sizes[index] - meanSize);
    }
    System.out.printf("%-44s %10s %12.3f %12s%n%n", what, "slope", above / below, unit);
  }

  private static long used() {
    Runtime runtime = Runtime.getRuntime();
    long last = Long.MAX_VALUE;
    long now = runtime.totalMemory() - runtime.freeMemory();
    while (now < last) {
      System.gc();
      last = now;
      now = runtime.totalMemory() - runtime.freeMemory();
    }
    return now;
  }

  private static StoredObject object(int number) {
    ObjectNode spec = Json.STRICT.createObjectNode();
    spec.put("kind", "engine").put("host", "127.0.0.1").put("port", 8000).put("zone", "hall-a");
    spec.put("slots", 8).put("trustedRefusals", true).put("leaving", false);
    spec.putArray("serves").add("small-v1").add("small-v2");
    ObjectKey key = ObjectKey.valueOf("upstream", "engine-" + number);
    return StoredObject.of(key, StoreRevision.ofNumber(number + 1L), spec);
  }

  private static Catalogue catalogue(int size) {
    Catalogue catalogue = Catalogue.create();
    List<StoredObject> objects = new ArrayList<>();
    for (int number = 0; number < size; number++) {
      objects.add(object(number));
    }
    catalogue.mergeAll(objects);
    return catalogue;
  }

  /** Changes one object of a catalogue; the making of the catalogue is left out of the time. */
  private static void changeOne(int size) {
    Catalogue catalogue = CHANGED.computeIfAbsent(size, CapacitySlopes::catalogue);
    StoredObject old = object(0);
    long number = catalogue.revisionOf("upstream", "engine-0").number() + 1;
    catalogue.merge(StoredObject.of(old.key(), StoreRevision.ofNumber(number), old.value()));
  }

  private static Object upstreams(int size) {
    UpstreamTable table = UpstreamTable.create();
    for (int number = 0; number < size; number++) {
      table.report("engine-" + number, 1, 0, false);
    }
    return table;
  }

  private static Object claimed(int size) {
    return filled(size, CapacitySlopes::claim);
  }

  private static Object billed(int size) {
    return filled(size, number -> new LedgerEntry.Billed(bill(number)));
  }

  /** Returns a shard that took the entries in one batch. */
  private static Shard filled(int size, IntFunction<LedgerEntry> make) {
    VirtualTime time = new VirtualTime();
    Shard.Options options =
        new Shard.Options(Duration.ofHours(24), FLUSH, Duration.ofHours(1), HEAD_BYTES);
    Shard shard =
        Shard.create("claims-0", new TakingPlatform(), time, options, new MetricRegistry());
    for (int number = 0; number < size; number++) {
      shard.submit(make.apply(number)).subscribe().with(done -> {}, failure -> {});
    }
    time.runUntil(2 * FLUSH.toMillis());
    shard.tick();
    return shard;
  }

  private static LedgerEntry.Claim claim(int number) {
    String key = "workspace-17\norder-of-the-yard-" + number;
    String attempt = "0c7a3c34-6a54-4a8c-9f0e-" + (100_000_000_000L + number);
    String fingerprint = "a".repeat(64);
    return new LedgerEntry.Claim(key, attempt, fingerprint, "entry-1@1796213852744", BORN);
  }

  private static Bill bill(int number) {
    String id = "0c7a3c34-6a54-4a8c-9f0e-" + (100_000_000_000L + number);
    String process = "entry-1@1796213852744";
    return new Bill(id, "workspace-17", "small-v1", 300, 120, 420, true, process, BORN);
  }

  private static Member member(int number) {
    return new Member(
        "entry-" + number,
        "hall-a",
        "rack-" + number / 8,
        "10.0.0." + number,
        7000,
        1796213852744L,
        0,
        Member.State.ALIVE);
  }

  private static Membership membership(int size) {
    Membership membership = Membership.create(member(0), new VirtualTime(), new Random(1));
    membership.connect((peer, message, patience) -> answer());
    for (int number = 1; number < size; number++) {
      membership.merge(member(number));
    }
    return membership;
  }

  private static Uni<PeerMessage> answer() {
    return Uni.createFrom().item(new PeerMessage.Ack(List.of()));
  }

  private static void tickMembership(int size) {
    VirtualTime time = new VirtualTime();
    Membership membership = Membership.create(member(0), time, new Random(1));
    membership.connect((peer, message, patience) -> answer());
    for (int number = 1; number < size; number++) {
      membership.merge(member(number));
    }
    time.every(500, membership::tick);
    time.runUntil(10_000);
  }

  private static void bytes() throws JsonProcessingException {
    print("ping without news", new PeerMessage.Ping(List.of(member(1))));
    List<Member> news = new ArrayList<>();
    for (int number = 0; number < 8; number++) {
      news.add(member(number));
    }
    print("ping with most news", new PeerMessage.Ping(news));
    print("digest", new PeerMessage.Digest(Long.MAX_VALUE, 1000, true, true));
    print("bucket digests", new PeerMessage.BucketDigests(new long[64], 1000));
    print("one object", new PeerMessage.Objects(List.of(object(1)), 1000, true));
    print("hold a bill", new PeerMessage.HoldBill(bill(1)));
    print("drop a bill", new PeerMessage.DropBills(List.of(bill(1).id())));
    print("submit a claim", new PeerMessage.Submit("claims-1", List.of(claim(1))));
    print(
        "submit a bill",
        new PeerMessage.Submit("claims-1", List.of(new LedgerEntry.Billed(bill(1)))));
    print("guard evidence", new PeerMessage.GuardEvidence("small-v2", 1.5));
    int claim = Json.STRICT.writeValueAsBytes(claim(1)).length;
    int billed = Json.STRICT.writeValueAsBytes(new LedgerEntry.Billed(bill(1))).length;
    System.out.printf("%-44s %10s %12d %12s%n", "claim at the platform", "", claim, "byte");
    System.out.printf("%-44s %10s %12d %12s%n", "bill at the platform", "", billed, "byte");
  }

  private static void print(String what, PeerMessage message) throws JsonProcessingException {
    int length = Json.MESSAGE_PACK.writeValueAsBytes(message).length;
    System.out.printf("%-44s %10s %12d %12s%n", "message: " + what, "", length, "byte");
  }

  /** A platform that takes every write and keeps none. */
  private static final class TakingPlatform implements Platform {
    private final StoreEpoch epoch = StoreEpoch.create();
    private long writes;

    @Override
    public StoreEpoch epoch() {
      return epoch;
    }

    @Override
    public Uni<Optional<StoredObject>> get(ObjectKey key) {
      return Uni.createFrom().item(Optional.empty());
    }

    @Override
    public Uni<Batch> list(List<String> kinds) {
      return Uni.createFrom().item(new Batch(StoreRevision.ofNumber(writes), List.of()));
    }

    @Override
    public Uni<StoreRevision> put(
        ObjectKey key, StoreRevision expected, com.fasterxml.jackson.databind.JsonNode value) {
      return Uni.createFrom().item(StoreRevision.ofNumber(++writes));
    }

    @Override
    public Uni<Batch> watch(List<String> kinds, StoreRevision revision, Duration wait) {
      return list(kinds);
    }

    @Override
    public Uni<List<ListedInstance>> instances() {
      return Uni.createFrom().item(List.of());
    }
  }
}
