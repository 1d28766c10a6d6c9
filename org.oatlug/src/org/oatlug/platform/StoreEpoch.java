// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.platform;

import com.google.common.flogger.FluentLogger;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * Newest epoch of the store that is known to this instance. The store begins a new epoch each time
 * it is restored from a copy, and continues the revision numbers of the copy.
 *
 * <p>Invariant: the epoch never decreases. Owned by one event loop, not thread-safe.
 */
public final class StoreEpoch {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The epoch of a store that does not report one. */
  public static final long UNREPORTED = 0;

  private static final int MALFORMED_LOG_INTERVAL_SECONDS = 30;

  /** Few enough digits that any match fits a {@code long}. */
  private static final Pattern NUMBER = Pattern.compile("\\d{1,15}");

  private long newest = UNREPORTED;

  private StoreEpoch() {}

  /** Returns the epoch of a store that has not responded yet. */
  public static StoreEpoch create() {
    return new StoreEpoch();
  }

  /** Returns the newest epoch. */
  public long newest() {
    return newest;
  }

  /**
   * Records the epoch that a response reports.
   *
   * @param text the value of the header, null if the response has none
   * @return the epoch of the response, empty if it does not report a valid one
   */
  public OptionalLong recordResponse(String text) {
    if (text == null) {
      return OptionalLong.empty();
    }
    if (!NUMBER.matcher(text).matches()) {
      logger.atWarning().atMostEvery(MALFORMED_LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "the store sent an epoch that is not a number: %.20s", text);
      return OptionalLong.empty();
    }
    long epoch = Long.parseLong(text);
    advanceTo(epoch);
    return OptionalLong.of(epoch);
  }

  /** Records an epoch that a response or another instance reported. */
  public void advanceTo(long epoch) {
    if (epoch <= newest) {
      return;
    }
    if (newest != UNREPORTED) {
      logger.atWarning().log(
          "the store was restored from a copy, epoch=%d before=%d", epoch, newest);
    }
    newest = epoch;
  }
}
