// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.client.HttpResponse;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.oatlug.errors.EarlierEpochException;
import org.oatlug.errors.PlatformUnavailableException;
import org.oatlug.platform.StoreEpoch;
import org.oatlug.platform.StoreRevision;

/**
 * Sends the calls of one client of a store and tracks the epoch of the store.
 *
 * <p>Invariant: a response of an earlier epoch than the newest known one never reaches a caller.
 * Owned by one event loop, not thread-safe.
 */
public final class StoreCalls {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int DISCARDED_LOG_INTERVAL_SECONDS = 1;

  private final String epochHeader;
  private final Set<Integer> acceptedStatuses;
  private final StoreEpoch epoch = StoreEpoch.create();

  private StoreCalls(String epochHeader, Set<Integer> acceptedStatuses) {
    this.epochHeader = epochHeader;
    this.acceptedStatuses = acceptedStatuses;
  }

  /**
   * Returns the calls of a client that has not sent any yet.
   *
   * @param epochHeader the response header that holds the epoch of the store
   * @param acceptedStatuses the HTTP statuses that do not fail a call
   */
  public static StoreCalls create(String epochHeader, Set<Integer> acceptedStatuses) {
    return new StoreCalls(epochHeader, acceptedStatuses);
  }

  /**
   * Response of the store. Immutable.
   *
   * @param status the HTTP status
   * @param body the content, an empty object if there is none
   * @param epoch the epoch of the store at the time of the response
   */
  public record Response(int status, JsonNode body, long epoch) {
    /** Returns the revision with this number in the epoch of the response. */
    public StoreRevision revision(JsonNode number) {
      return new StoreRevision(epoch, number.asLong());
    }
  }

  /** Returns the newest epoch that is known. */
  public StoreEpoch epoch() {
    return epoch;
  }

  /** Sends a call; fails as {@link PlatformCalls#call}, or if the response is discarded. */
  public Uni<Response> call(String operation, Supplier<Future<HttpResponse<Buffer>>> send) {
    return PlatformCalls.call(
            operation, acceptedStatuses, () -> send.get().onSuccess(this::recordEpoch))
        .onItem()
        .transformToUni(response -> requireCurrentEpoch(operation, response));
  }

  /** Records the epoch of a response of any status. */
  private void recordEpoch(HttpResponse<Buffer> response) {
    epoch.recordResponse(response.getHeader(epochHeader));
  }

  private Uni<Response> requireCurrentEpoch(String operation, HttpResponse<Buffer> response) {
    long newest = epoch.newest();
    long responseEpoch = epoch.recordResponse(response.getHeader(epochHeader)).orElse(newest);
    if (responseEpoch < newest) {
      logger.atInfo().atMostEvery(DISCARDED_LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "discarded the response to %s, epoch=%d newest=%d", operation, responseEpoch, newest);
      return Uni.createFrom().failure(earlierEpochFailure(operation, responseEpoch));
    }
    return PlatformCalls.parseBody(operation, response)
        .map(body -> new Response(response.statusCode(), body, responseEpoch));
  }

  /**
   * Returns whether a write was prepared before the store was restored. Its condition may then
   * match other content, as the restored store reuses revisions.
   *
   * @param expected the revision that the write expects
   */
  public boolean isOfEarlierEpoch(StoreRevision expected) {
    return !expected.equals(StoreRevision.NONE) && expected.epoch() < epoch.newest();
  }

  /** Returns the failure of a call whose response or condition is of {@code earlierEpoch}. */
  public PlatformUnavailableException earlierEpochFailure(String operation, long earlierEpoch) {
    EarlierEpochException cause =
        new EarlierEpochException(operation, earlierEpoch, epoch.newest());
    return new PlatformUnavailableException(operation, cause);
  }
}
