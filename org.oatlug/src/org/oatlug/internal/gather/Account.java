// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import com.google.common.collect.Maps;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oatlug.internal.engine.ReadingLine;
import org.oatlug.internal.limit.AdvertisedLimit;
import org.oatlug.internal.rollout.VersionEvidence;

/**
 * Reports the pending prompts, version evidence, prefill speeds and rate limits of one instance or
 * the aggregate of several. Immutable, thread-safe.
 *
 * @param openMillis the estimated prefill time of the pending prompts, in milliseconds by upstream
 * @param evidence the evidence on versions that are being rolled out, one entry per service
 * @param speeds the prefill speed of engines by model; a measurement of any instance is valid for
 *     all
 * @param limits the rate limits that upstreams advertise, by upstream process
 */
public record Account(
    Map<String, Integer> openMillis,
    List<VersionEvidence> evidence,
    Map<String, ReadingLine> speeds,
    Map<String, AdvertisedLimit> limits) {
  /** An empty report. */
  public static final Account EMPTY = new Account(Map.of(), List.of(), Map.of(), Map.of());

  /** Exceeds the prefill time of the longest queue of an upstream, in milliseconds. */
  private static final int MAXIMUM_OPEN_MILLIS = 10_000_000;

  /** Exceeds the number of upstreams, services and models at the design size. */
  private static final int MAXIMUM_ENTRIES = 10_000;

  /** Replaces missing limits, as sent by an instance of an earlier version, by an empty map. */
  public Account {
    limits = limits == null ? Map.of() : limits;
  }

  /** Returns the aggregate of reports of different instances. */
  static Account sumOf(Iterable<Account> reports) {
    Map<String, Integer> open = new TreeMap<>();
    Map<String, ReadingLine> lines = new TreeMap<>();
    Map<String, VersionEvidence> byService = new TreeMap<>();
    Map<String, AdvertisedLimit> newest = new TreeMap<>();
    for (Account report : reports) {
      report.openMillis.forEach((upstream, millis) -> open.merge(upstream, millis, Integer::sum));
      report.speeds.forEach(lines::putIfAbsent);
      report.limits.forEach((name, limit) -> newest.merge(name, limit, AdvertisedLimit::newer));
      report.evidence.forEach(
          entry -> byService.merge(entry.service(), entry, Account::sumOrLatest));
    }
    return new Account(open, List.copyOf(byService.values()), lines, newest);
  }

  /** Returns the sum of evidence on the same roll-out order; a later order replaces an earlier. */
  private static VersionEvidence sumOrLatest(VersionEvidence left, VersionEvidence right) {
    if (left.isOfSameOrder(right)) {
      return left.plus(right);
    }
    return right.orderedAt().isAfter(left.orderedAt()) ? right : left;
  }

  /**
   * Returns this report joined with an earlier one of the same instances, so that evidence never
   * decreases.
   */
  Account joinEarlier(Account earlier) {
    List<VersionEvidence> joined = new ArrayList<>();
    for (VersionEvidence current : evidence) {
      VersionEvidence result = current;
      for (VersionEvidence previous : earlier.evidence) {
        result = current.isOfSameOrder(previous) ? result.join(previous) : result;
      }
      joined.add(result);
    }
    Map<String, ReadingLine> lines = new TreeMap<>(earlier.speeds);
    lines.putAll(speeds);
    return new Account(openMillis, joined, lines, limits);
  }

  /** Returns this report with all ages increased by the elapsed time. */
  Account aged(Duration elapsed) {
    if (evidence.isEmpty() && limits.isEmpty()) {
      return this;
    }
    return new Account(
        openMillis,
        evidence.stream().map(entry -> entry.after(elapsed)).toList(),
        speeds,
        Maps.transformValues(limits, limit -> limit.aged(elapsed)));
  }

  /** Returns whether the reports are equal apart from ages. */
  boolean equalsIgnoringAges(Account other) {
    return openMillis.equals(other.openMillis)
        && speeds.equals(other.speeds)
        && ageless(limits).equals(ageless(other.limits))
        && ageless(evidence).equals(ageless(other.evidence));
  }

  private static List<VersionEvidence> ageless(List<VersionEvidence> evidence) {
    return evidence.stream().map(VersionEvidence::ageless).toList();
  }

  private static Map<String, Double> ageless(Map<String, AdvertisedLimit> limits) {
    return Maps.transformValues(limits, AdvertisedLimit::requestsPerSecond);
  }

  /** Returns this report without the pending prompts. */
  Account withoutPendingPrompts() {
    return new Account(Map.of(), evidence, speeds, limits);
  }

  /** Returns the number of compared pairs in which the new version was worse. */
  long worsePairs() {
    return evidence.stream().mapToLong(entry -> entry.pairs().worse()).sum();
  }

  /** Returns the number of refuted versions. */
  long refuted() {
    return evidence.stream().filter(VersionEvidence::refuted).count();
  }

  /** Returns whether no prompt is pending and no version is being rolled out. */
  boolean isIdle() {
    return openMillis.isEmpty() && evidence.isEmpty();
  }

  /** Validates a report of a peer: returns the reason to reject it, empty if it is valid. */
  Optional<String> problem() {
    if (openMillis == null || evidence == null || speeds == null) {
      return Optional.of("a field of the report is missing");
    }
    int entries = openMillis.size() + evidence.size() + speeds.size() + limits.size();
    if (entries > MAXIMUM_ENTRIES) {
      return Optional.of("the report has " + entries + " entries");
    }
    if (!openMillis.values().stream().allMatch(Account::isValidOpenMillis)) {
      return Optional.of("a pending prefill time is negative or too long");
    }
    if (!speeds.values().stream().allMatch(Account::isValidSpeed)) {
      return Optional.of("a prefill speed is missing, negative or not finite");
    }
    if (!limits.values().stream().allMatch(limit -> limit != null && limit.isSound())) {
      return Optional.of("a rate limit is missing or invalid");
    }
    return evidence.stream().flatMap(entry -> problemOf(entry).stream()).findFirst();
  }

  private static Optional<String> problemOf(VersionEvidence evidence) {
    return evidence == null
        ? Optional.of("an entry of the evidence is missing")
        : evidence.problem();
  }

  private static boolean isValidOpenMillis(Integer millis) {
    return millis != null && millis >= 0 && millis <= MAXIMUM_OPEN_MILLIS;
  }

  private static boolean isValidSpeed(ReadingLine line) {
    return line != null
        && Double.isFinite(line.fixedMillis())
        && Double.isFinite(line.millisPerToken())
        && line.fixedMillis() >= 0
        && line.millisPerToken() >= 0;
  }
}
