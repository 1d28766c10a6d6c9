// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oatlug.internal.engine.ReadingLine;
import org.oatlug.internal.rollout.VersionEvidence;

/**
 * What one instance, or several together, have open, see and have measured. Immutable, thread-safe.
 *
 * @param openMillis how long the prompts take that wait to be read, in milliseconds by upstream
 * @param evidence what was seen of versions that are brought in, one entry a service
 * @param speeds how fast engines read, by model; any instance's measurement serves all
 */
public record Account(
    Map<String, Integer> openMillis,
    List<VersionEvidence> evidence,
    Map<String, ReadingLine> speeds) {
  /** Nothing at all. */
  public static final Account EMPTY = new Account(Map.of(), List.of(), Map.of());

  /** More than what waits at an upstream in the longest queue, in milliseconds. */
  private static final int MOST_OPEN_MILLIS = 10_000_000;

  /** More upstreams, services or models than the design size has. */
  private static final int MOST_ENTRIES = 10_000;

  /** Returns the account of several together, who are different instances. */
  static Account sumOf(Iterable<Account> accounts) {
    Map<String, Integer> open = new TreeMap<>();
    Map<String, ReadingLine> lines = new TreeMap<>();
    Map<String, VersionEvidence> byService = new TreeMap<>();
    for (Account account : accounts) {
      account.openMillis.forEach((upstream, millis) -> open.merge(upstream, millis, Integer::sum));
      account.speeds.forEach(lines::putIfAbsent);
      account.evidence.forEach(one -> byService.merge(one.service(), one, Account::sumOrLater));
    }
    return new Account(open, List.copyOf(byService.values()), lines);
  }

  /** Returns what both saw of a service; what was seen of an earlier order counts no more. */
  private static VersionEvidence sumOrLater(VersionEvidence one, VersionEvidence two) {
    if (one.isOfSameOrder(two)) {
      return one.plus(two);
    }
    return one.orderedAt() >= two.orderedAt() ? one : two;
  }

  /** Returns this later account of the same instances, with no evidence less than before. */
  Account after(Account earlier) {
    List<VersionEvidence> joined = new ArrayList<>();
    for (VersionEvidence one : evidence) {
      VersionEvidence grown = one;
      for (VersionEvidence before : earlier.evidence) {
        grown = one.isOfSameOrder(before) ? grown.join(before) : grown;
      }
      joined.add(grown);
    }
    Map<String, ReadingLine> lines = new TreeMap<>(earlier.speeds);
    lines.putAll(speeds);
    return new Account(openMillis, joined, lines);
  }

  /** Returns this account some time later. */
  Account aged(Duration passed) {
    if (evidence.isEmpty()) {
      return this;
    }
    return new Account(
        openMillis, evidence.stream().map(one -> one.after(passed)).toList(), speeds);
  }

  /** Returns whether anything but the time that has passed differs. */
  boolean saysTheSameAs(Account other) {
    return openMillis.equals(other.openMillis)
        && speeds.equals(other.speeds)
        && ageless(evidence).equals(ageless(other.evidence));
  }

  private static List<VersionEvidence> ageless(List<VersionEvidence> evidence) {
    return evidence.stream().map(VersionEvidence::ageless).toList();
  }

  /** Returns this account without the prompts that wait. */
  Account withoutOpen() {
    return new Account(Map.of(), evidence, speeds);
  }

  /** Returns the number of pairs that speak against versions. */
  long worsePairs() {
    return evidence.stream().mapToLong(one -> one.pairs().worse()).sum();
  }

  /** Returns the number of versions that are known to be bad. */
  long refuted() {
    return evidence.stream().filter(VersionEvidence::refuted).count();
  }

  /** Returns whether nothing is open and no version is brought in. */
  boolean isIdle() {
    return openMillis.isEmpty() && evidence.isEmpty();
  }

  /** Returns what is wrong with an account that a peer sent, empty if it can be taken in. */
  Optional<String> problem() {
    if (openMillis == null || evidence == null || speeds == null) {
      return Optional.of("the account lacks a field");
    }
    int entries = openMillis.size() + evidence.size() + speeds.size();
    if (entries > MOST_ENTRIES) {
      return Optional.of("the account has " + entries + " entries");
    }
    if (!openMillis.values().stream().allMatch(Account::isSoundOpen)) {
      return Optional.of("a wait is negative or too long");
    }
    if (!speeds.values().stream().allMatch(Account::isSoundLine)) {
      return Optional.of("a reading speed is no speed");
    }
    return evidence.stream().flatMap(one -> problemOf(one).stream()).findFirst();
  }

  private static Optional<String> problemOf(VersionEvidence evidence) {
    return evidence == null ? Optional.of("evidence is missing") : evidence.problem();
  }

  private static boolean isSoundOpen(Integer millis) {
    return millis != null && millis >= 0 && millis <= MOST_OPEN_MILLIS;
  }

  private static boolean isSoundLine(ReadingLine line) {
    return line != null
        && Double.isFinite(line.fixedMillis())
        && Double.isFinite(line.millisPerToken())
        && line.fixedMillis() >= 0
        && line.millisPerToken() >= 0;
  }
}
