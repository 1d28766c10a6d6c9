// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.oatlug.internal.engine.OpenReading;
import org.oatlug.internal.util.BoundedMap;

/**
 * What a collector was told by the instances of its availability zone and by the other zones.
 *
 * <p>Load pattern: every instance has something new several times a second, and each wants the sum
 * of all others. Told to each other, that is a number of messages that grows with the square of the
 * instances; through collectors each instance sends and gets one. Invariants: an instance and a
 * zone count once, with what they told last; of one that tells nothing any more the open prompts
 * count for {@link OpenReading#VALID} and the evidence for {@link #EVIDENCE_VALID}. Owned by one
 * event loop, not thread-safe.
 */
final class Accounts {
  /** Instances of a zone at the design size, with those that they replace in a day. */
  private static final int MOST_INSTANCES = 1024;

  /** Several times the availability zones of the design size. */
  private static final int MOST_ZONES = 64;

  /** The pause after which an account is told anew, before its open prompts are forgotten. */
  static final Duration REFRESH = OpenReading.VALID.dividedBy(4);

  /** How long the evidence of an instance that is gone, or of a zone that is cut off, counts. */
  static final Duration EVIDENCE_VALID = Duration.ofSeconds(60);

  private final Map<String, Told> instances = BoundedMap.ofMost(MOST_INSTANCES);
  private final Map<String, Told> zones = BoundedMap.ofMost(MOST_ZONES);

  private record Told(Account account, Instant at) {
    Account asOf(Instant now) {
      if (now.isAfter(at.plus(EVIDENCE_VALID))) {
        return Account.EMPTY;
      }
      Account aged = account.aged(Duration.between(at, now));
      return now.isAfter(at.plus(OpenReading.VALID)) ? aged.withoutOpen() : aged;
    }
  }

  private Accounts() {}

  /** Returns accounts of nobody. */
  static Accounts create() {
    return new Accounts();
  }

  /** Takes in what an instance of the own zone told; the process is named with its epoch. */
  void told(String process, Account account, Instant now) {
    instances.merge(process, new Told(account, now), Accounts::later);
  }

  /** Takes in what another zone told. */
  void toldByZone(String zone, Account account, Instant now) {
    zones.merge(zone, new Told(account, now), Accounts::later);
  }

  private static Told later(Told before, Told told) {
    return new Told(told.account().after(before.account()), told.at());
  }

  /** Returns the account of the own zone. */
  Account ofZone(Instant now) {
    return Account.sumOf(instances.values().stream().map(told -> told.asOf(now)).toList());
  }

  /** Returns the account of all instances but one. */
  Account ofOthers(String process, Instant now) {
    List<Account> others = new ArrayList<>();
    for (Map.Entry<String, Told> entry : instances.entrySet()) {
      if (!entry.getKey().equals(process)) {
        others.add(entry.getValue().asOf(now));
      }
    }
    zones.values().forEach(told -> others.add(told.asOf(now)));
    return Account.sumOf(others);
  }
}
