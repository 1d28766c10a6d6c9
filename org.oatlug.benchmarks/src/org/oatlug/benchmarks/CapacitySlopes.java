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
 * Measures the slopes of {@code docs/CAPACITY.md}: memory, processor time and message sizes of the
 * production code at several sizes, with a linear fit. Not thread-safe.
 */
public final class CapacitySlopes {
  private static final int[] SIZES = {1000, 4000, 16000};
  private static final int[] MEMBERS = {20, 80, 320};
  private static final int REPEATS = 5;
  private static final Duration FLUSH = Duration.ofMillis(283);
  private static final int HEAD_BYTES = 64 * 1024;
  private static final Map<Integer, Catalogue> CATALOGUES_BY_SIZE = new HashMap<>();
  private static final long CREATED_MILLIS = new VirtualTime().instant().toEpochMilli();

  private CapacitySlopes() {}

  /** Runs all measurements and prints the results and slopes. */
  public static void main(String[] arguments) throws JsonProcessingException {
    System.out.printf("%-44s %10s %12s %12s%n", "what", "size", "measured", "unit");
    measureMemory("catalogue: memory of objects", SIZES, CapacitySlopes::catalogue);
    measureMemory("ledger: memory of claims", SIZES, CapacitySlopes::shardOfClaims);
    measureMemory("ledger: memory of bills", SIZES, CapacitySlopes::shardOfBills);
    measureMemory("upstream table: memory of rows", SIZES, CapacitySlopes::upstreamTable);
    measureMemory("membership: memory of members", MEMBERS, CapacitySlopes::membership);
    measureTime("catalogue: time to merge", SIZES, size -> catalogue(size));
    measureTime("catalogue: time of one change", SIZES, CapacitySlopes::changeObject);
    measureTime("ledger: time of a batch of claims", SIZES, CapacitySlopes::shardOfClaims);
    measureTime("membership: time of ticks", MEMBERS, CapacitySlopes::tickMembership);
    printMessageSizes();
  }

  private static void measureMemory(String label, int[] sizes, IntFunction<Object> factory) {
    double[] measured = new double[sizes.length];
    for (int index = 0; index < sizes.length; index++) {
      Object[] retained = new Object[REPEATS];
      long before = usedHeapBytes();
      for (int repeat = 0; repeat < REPEATS; repeat++) {
        retained[repeat] = factory.apply(sizes[index]);
      }
      measured[index] = (double) (usedHeapBytes() - before) / REPEATS;
      System.out.printf("%-44s %10d %12.0f %12s%n", label, sizes[index], measured[index], "byte");
      if (retained[0] == null) {
        throw new IllegalStateException(label);
      }
    }
    printSlope(label, sizes, measured, "byte each");
  }

  private static void measureTime(String label, int[] sizes, IntConsumer operation) {
    double[] measured = new double[sizes.length];
    for (int warmUp = 0; warmUp < REPEATS; warmUp++) {
      operation.accept(sizes[0]);
    }
    for (int index = 0; index < sizes.length; index++) {
      double bestMicros = Double.POSITIVE_INFINITY;
      for (int repeat = 0; repeat < REPEATS; repeat++) {
        long start = System.nanoTime();
        operation.accept(sizes[index]);
        bestMicros = Math.min(bestMicros, (System.nanoTime() - start) / 1e3);
      }
      measured[index] = bestMicros;
      System.out.printf("%-44s %10d %12.0f %12s%n", label, sizes[index], bestMicros, "us");
    }
    printSlope(label, sizes, measured, "us each");
  }

  /** Prints the slope of the least-squares line. */
  private static void printSlope(String label, int[] sizes, double[] measured, String unit) {
    double meanSize = 0;
    double meanMeasured = 0;
    for (int index = 0; index < sizes.length; index++) {
      meanSize += (double) sizes[index] / sizes.length;
      meanMeasured += measured[index] / sizes.length;
    }
    double productSum = 0;
    double squareSum = 0;
    for (int index = 0; index < sizes.length; index++) {
      productSum += (sizes[index] - meanSize) * (measured[index] - meanMeasured);
      squareSum += (sizes[index] - meanSize) * (sizes[index] - meanSize);
    }
    System.out.printf("%-44s %10s %12.3f %12s%n%n", label, "slope", productSum / squareSum, unit);
  }

  private static long usedHeapBytes() {
    Runtime runtime = Runtime.getRuntime();
    long previousBytes = Long.MAX_VALUE;
    long currentBytes = runtime.totalMemory() - runtime.freeMemory();
    while (currentBytes < previousBytes) {
      System.gc();
      previousBytes = currentBytes;
      currentBytes = runtime.totalMemory() - runtime.freeMemory();
    }
    return currentBytes;
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

  /** Changes an object of a cached catalogue, so that building the catalogue is not timed. */
  private static void changeObject(int size) {
    Catalogue catalogue = CATALOGUES_BY_SIZE.computeIfAbsent(size, CapacitySlopes::catalogue);
    StoredObject current = object(0);
    long number = catalogue.revisionOf("upstream", "engine-0").number() + 1;
    catalogue.merge(
        StoredObject.of(current.key(), StoreRevision.ofNumber(number), current.value()));
  }

  private static Object upstreamTable(int size) {
    UpstreamTable table = UpstreamTable.create();
    for (int number = 0; number < size; number++) {
      table.report("engine-" + number, 1, 0, false);
    }
    return table;
  }

  private static Object shardOfClaims(int size) {
    return shardOf(size, CapacitySlopes::claim);
  }

  private static Object shardOfBills(int size) {
    return shardOf(size, number -> new LedgerEntry.Billed(bill(number)));
  }

  /** Returns a shard to which the entries were submitted in a single batch. */
  private static Shard shardOf(int size, IntFunction<LedgerEntry> factory) {
    VirtualTime time = new VirtualTime();
    Shard.Options options =
        new Shard.Options(Duration.ofHours(24), FLUSH, Duration.ofHours(1), HEAD_BYTES);
    Shard shard =
        Shard.create("claims-0", new DiscardingPlatform(), time, options, new MetricRegistry());
    for (int number = 0; number < size; number++) {
      shard.submit(factory.apply(number)).subscribe().with(accepted -> {}, failure -> {});
    }
    time.runUntil(2 * FLUSH.toMillis());
    shard.tick();
    return shard;
  }

  private static LedgerEntry.Claim claim(int number) {
    String key = "workspace-17\norder-of-the-yard-" + number;
    String attempt = "0c7a3c34-6a54-4a8c-9f0e-" + (100_000_000_000L + number);
    String fingerprint = "a".repeat(64);
    return new LedgerEntry.Claim(
        key, attempt, fingerprint, "entry-1@1796213852744", CREATED_MILLIS);
  }

  private static Bill bill(int number) {
    String id = "0c7a3c34-6a54-4a8c-9f0e-" + (100_000_000_000L + number);
    String process = "entry-1@1796213852744";
    return new Bill(id, "workspace-17", "small-v1", 300, 120, 420, true, process, CREATED_MILLIS);
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
    membership.connect((peer, message, timeout) -> acknowledgement());
    for (int number = 1; number < size; number++) {
      membership.merge(member(number));
    }
    return membership;
  }

  private static Uni<PeerMessage> acknowledgement() {
    return Uni.createFrom().item(new PeerMessage.Ack(List.of()));
  }

  private static void tickMembership(int size) {
    VirtualTime time = new VirtualTime();
    Membership membership = Membership.create(member(0), time, new Random(1));
    membership.connect((peer, message, timeout) -> acknowledgement());
    for (int number = 1; number < size; number++) {
      membership.merge(member(number));
    }
    time.every(500, membership::tick);
    time.runUntil(10_000);
  }

  private static void printMessageSizes() throws JsonProcessingException {
    printMessageSize("ping without news", new PeerMessage.Ping(List.of(member(1))));
    List<Member> members = new ArrayList<>();
    for (int number = 0; number < 8; number++) {
      members.add(member(number));
    }
    printMessageSize("ping with most news", new PeerMessage.Ping(members));
    printMessageSize("digest", new PeerMessage.Digest(Long.MAX_VALUE, 1000, true, true));
    printMessageSize("bucket digests", new PeerMessage.BucketDigests(new long[64], 1000));
    printMessageSize("one object", new PeerMessage.Objects(List.of(object(1)), 1000, true));
    printMessageSize("hold a bill", new PeerMessage.HoldBill(bill(1)));
    printMessageSize("drop a bill", new PeerMessage.DropBills(List.of(bill(1).id())));
    printMessageSize("submit a claim", new PeerMessage.Submit("claims-1", List.of(claim(1))));
    printMessageSize(
        "submit a bill",
        new PeerMessage.Submit("claims-1", List.of(new LedgerEntry.Billed(bill(1)))));
    printMessageSize("guard evidence", new PeerMessage.GuardEvidence("small-v2", 1.5));
    int claimBytes = Json.STRICT.writeValueAsBytes(claim(1)).length;
    int billBytes = Json.STRICT.writeValueAsBytes(new LedgerEntry.Billed(bill(1))).length;
    System.out.printf("%-44s %10s %12d %12s%n", "claim at the platform", "", claimBytes, "byte");
    System.out.printf("%-44s %10s %12d %12s%n", "bill at the platform", "", billBytes, "byte");
  }

  private static void printMessageSize(String label, PeerMessage message)
      throws JsonProcessingException {
    int length = Json.MESSAGE_PACK.writeValueAsBytes(message).length;
    System.out.printf("%-44s %10s %12d %12s%n", "message: " + label, "", length, "byte");
  }

  /** Platform that accepts every write and stores nothing. */
  private static final class DiscardingPlatform implements Platform {
    private final StoreEpoch epoch = StoreEpoch.create();
    private long revision;

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
      return Uni.createFrom().item(new Batch(StoreRevision.ofNumber(revision), List.of()));
    }

    @Override
    public Uni<StoreRevision> put(
        ObjectKey key, StoreRevision expected, com.fasterxml.jackson.databind.JsonNode value) {
      return Uni.createFrom().item(StoreRevision.ofNumber(++revision));
    }

    @Override
    public Uni<Batch> watch(List<String> kinds, StoreRevision since, Duration wait) {
      return list(kinds);
    }

    @Override
    public Uni<List<ListedInstance>> instances() {
      return Uni.createFrom().item(List.of());
    }
  }
}
