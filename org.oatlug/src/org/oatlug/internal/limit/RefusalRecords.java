// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Records which requests were refused until when, at this instance and, as reported, at others, so
 * that a retry that observes its return time can precede new requests.
 *
 * <p>Invariants: a record is used at most once at an instance, from its return time until {@link
 * #VALIDITY} after it; it is not replaced before its return time, so that early retries neither
 * change it nor evict others; the number of records is bounded, and the oldest are evicted first.
 * Does no I/O and reads no clock. Owned by one event loop, not thread-safe.
 */
public final class RefusalRecords {
  /** The time after its return time for which a record is valid. */
  public static final Duration VALIDITY = Duration.ofSeconds(5);

  /** The longest time until a return that is recorded; callers rarely wait longer. */
  public static final Duration MAXIMUM_DELAY = Duration.ofSeconds(30);

  /** The maximum number of refusals of this instance. */
  static final int MAXIMUM_OWN = 256;

  /** The maximum number of refusals of other instances, that of a report. */
  static final int MAXIMUM_REPORTED = 256;

  /**
   * Reported times are relative, so they are late by the time of the messages: up to four, which
   * take a few milliseconds each.
   */
  private static final Duration REPORT_TOLERANCE = Duration.ofMillis(100);

  /** The interval at which expired records are removed. */
  private static final Duration REMOVAL_INTERVAL = Duration.ofMillis(250);

  private final Runnable onDropped;
  private final Map<Long, Refused> own = new LinkedHashMap<>();
  private final Map<Long, Refused> reported = new HashMap<>();
  private final Map<Long, Used> used = new LinkedHashMap<>();
  private Instant nextRemoval = Instant.MIN;

  /**
   * A refused request.
   *
   * @param content the hash of its content
   * @param refusedAt the time of the refusal
   * @param returnAt the time from which its caller may return
   */
  public record Refused(long content, Instant refusedAt, Instant returnAt) {
    private boolean isExpired(Instant now) {
      return now.isAfter(returnAt.plus(VALIDITY));
    }
  }

  private record Used(Instant usedAt, Instant expiresAt) {}

  private RefusalRecords(Runnable onDropped) {
    this.onDropped = onDropped;
  }

  /**
   * Returns an empty set of records.
   *
   * @param onDropped is notified of each record that is evicted before it expires
   */
  public static RefusalRecords create(Runnable onDropped) {
    return new RefusalRecords(onDropped);
  }

  /** Returns whether there is no record, so that contents need not be hashed. */
  public boolean isEmpty(Instant now) {
    removeExpired(now);
    return own.isEmpty() && reported.isEmpty();
  }

  /** Returns the valid record of a content that was not used yet: the newest one. */
  public Optional<Refused> find(long content, Instant now) {
    return Stream.of(Optional.ofNullable(own.get(content)), ofOthers(content))
        .flatMap(Optional::stream)
        .filter(refused -> !refused.isExpired(now))
        .max(Comparator.comparing(Refused::refusedAt));
  }

  private Optional<Refused> ofOthers(long content) {
    return Optional.ofNullable(reported.get(content)).filter(refused -> !isUsed(refused));
  }

  private boolean isUsed(Refused refused) {
    Used use = used.get(refused.content());
    return use != null && !refused.refusedAt().isAfter(use.usedAt());
  }

  /** Uses the record of a content whose caller returns in time; returns whether there was one. */
  public boolean use(long content, Instant now) {
    Optional<Refused> due = find(content, now).filter(refused -> !now.isBefore(refused.returnAt()));
    due.ifPresent(
        refused -> {
          own.remove(content);
          Instant expiresAt = refused.returnAt().plus(VALIDITY).plus(REPORT_TOLERANCE);
          used.put(content, new Used(now, expiresAt));
          removeOldest(used, MAXIMUM_OWN + MAXIMUM_REPORTED);
        });
    return due.isPresent();
  }

  /**
   * Records a refusal and returns the return time in force: that of an earlier refusal of the same
   * content if it is not over.
   */
  public Instant add(long content, Instant returnAt, Instant now) {
    removeExpired(now);
    Optional<Refused> earlier =
        find(content, now).filter(refused -> now.isBefore(refused.returnAt()));
    if (earlier.isPresent()) {
      return earlier.get().returnAt();
    }
    if (!returnAt.isAfter(now.plus(MAXIMUM_DELAY))) {
      // Removed first, so that the order of the entries is that of the refusals.
      own.remove(content);
      own.put(content, new Refused(content, now, returnAt));
      if (removeOldest(own, MAXIMUM_OWN)) {
        onDropped.run();
      }
    }
    return returnAt;
  }

  /** Returns the newest refusals of this instance that are valid, at most {@code maximum}. */
  public List<Refused> newest(int maximum, Instant now) {
    List<Refused> valid = own.values().stream().filter(entry -> !entry.isExpired(now)).toList();
    return valid.subList(Math.max(0, valid.size() - maximum), valid.size());
  }

  /** Replaces the refusals of all other instances. */
  public void applyReported(Collection<Refused> refusals, Instant now) {
    reported.clear();
    for (Refused refused : refusals) {
      if (reported.size() < MAXIMUM_REPORTED && !refused.isExpired(now)) {
        Instant returnAt = refused.returnAt().minus(REPORT_TOLERANCE);
        reported.put(
            refused.content(), new Refused(refused.content(), refused.refusedAt(), returnAt));
      }
    }
  }

  /** Returns the number of records. */
  int size() {
    return own.size() + reported.size() + used.size();
  }

  private void removeExpired(Instant now) {
    if (now.isBefore(nextRemoval)) {
      return;
    }
    nextRemoval = now.plus(REMOVAL_INTERVAL);
    own.values().removeIf(refused -> refused.isExpired(now));
    reported.values().removeIf(refused -> refused.isExpired(now));
    used.values().removeIf(use -> now.isAfter(use.expiresAt()));
  }

  private static <T> boolean removeOldest(Map<Long, T> entries, int maximum) {
    if (entries.size() <= maximum) {
      return false;
    }
    Iterator<T> oldest = entries.values().iterator();
    oldest.next();
    oldest.remove();
    return true;
  }
}
