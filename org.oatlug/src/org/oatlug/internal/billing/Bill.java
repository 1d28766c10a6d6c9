// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.billing;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Bill of a request to its workspace. Immutable.
 *
 * @param id the request id; the ledger records at most one bill per id
 * @param workspace the workspace
 * @param version the version or application that served the request
 * @param promptTokens number of tokens of the prompt
 * @param answerTokens number of tokens generated so far
 * @param cost the cost in millionths of the billing unit
 * @param complete whether the response is complete
 * @param process the process that handles the request, as name and epoch
 * @param createdMillis arrival time of the request, in milliseconds since 1970; the same in all
 *     versions of a bill
 */
public record Bill(
    String id,
    String workspace,
    String version,
    int promptTokens,
    int answerTokens,
    long cost,
    boolean complete,
    String process,
    @JsonProperty("bornMillis") long createdMillis) {}
