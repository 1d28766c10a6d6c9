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
 * The calls of one client of a store, each answer with the epoch of the store that gave it.
 *
 * <p>Invariant: an answer of an earlier epoch than the newest known one reaches nobody. Owned by
 * one event loop, not thread-safe.
 */
public final class StoreCalls {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int DISCARDED_LINES_SECONDS = 1;

  private final String epochHeader;
  private final Set<Integer> answers;
  private final StoreEpoch epoch = StoreEpoch.create();

  private StoreCalls(String epochHeader, Set<Integer> answers) {
    this.epochHeader = epochHeader;
    this.answers = answers;
  }

  /**
   * Returns the calls of a client that has not called yet.
   *
   * @param epochHeader the header by which the store names its epoch in any answer
   * @param answers the statuses that are answers
   */
  public static StoreCalls create(String epochHeader, Set<Integer> answers) {
    return new StoreCalls(epochHeader, answers);
  }

  /**
   * An answer of the store. Immutable.
   *
   * @param status its status
   * @param body its content, an empty object if it has none
   * @param epoch the epoch of the store that gave it
   */
  public record Answer(int status, JsonNode body, long epoch) {
    /** Returns the revision with the number in the epoch of the answer. */
    public StoreRevision revision(JsonNode number) {
      return new StoreRevision(epoch, number.asLong());
    }
  }

  /** Returns the newest epoch that is known. */
  public StoreEpoch epoch() {
    return epoch;
  }

  /** Makes a call; fails as {@link PlatformCalls#call} does, and if the answer is discarded. */
  public Uni<Answer> call(String operation, Supplier<Future<HttpResponse<Buffer>>> send) {
    return PlatformCalls.call(operation, answers, () -> send.get().onSuccess(this::noteEpoch))
        .onItem()
        .transformToUni(response -> current(operation, response));
  }

  /** Takes in the epoch of an answer of any status. */
  private void noteEpoch(HttpResponse<Buffer> response) {
    epoch.noteAnswer(response.getHeader(epochHeader));
  }

  private Uni<Answer> current(String operation, HttpResponse<Buffer> response) {
    long newest = epoch.newest();
    long named = epoch.noteAnswer(response.getHeader(epochHeader)).orElse(newest);
    if (named < newest) {
      logger.atInfo().atMostEvery(DISCARDED_LINES_SECONDS, TimeUnit.SECONDS).log(
          "the answer to %s is discarded, epoch=%d newest=%d", operation, named, newest);
      return Uni.createFrom().failure(outdated(operation, named));
    }
    return Uni.createFrom()
        .item(new Answer(response.statusCode(), PlatformCalls.tree(response), named));
  }

  /**
   * Returns whether a write was prepared before the store was restored. Its condition may match
   * another object then, whose revision was given out again.
   *
   * @param expected the revision that the write expects
   */
  public boolean isOutdated(StoreRevision expected) {
    return !expected.equals(StoreRevision.NONE) && expected.epoch() < epoch.newest();
  }

  /** Returns the failure of a call that an earlier epoch answered, or was prepared in. */
  public PlatformUnavailableException outdated(String operation, long answered) {
    EarlierEpochException cause = new EarlierEpochException(operation, answered, epoch.newest());
    return new PlatformUnavailableException(operation, cause);
  }
}
