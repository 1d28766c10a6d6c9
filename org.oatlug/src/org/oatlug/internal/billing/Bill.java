// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.billing;

/**
 * What a request costs its workspace. Immutable.
 *
 * @param id the request id; the ledger takes one bill for an id
 * @param workspace the workspace
 * @param version the version or application that answered
 * @param promptTokens tokens of the prompt
 * @param answerTokens tokens of the answer so far
 * @param cost in millionths of the billing unit
 * @param complete whether the answer is complete
 * @param process the process that answers the request, a name and an epoch
 * @param bornMillis when the request came, in milliseconds since 1970; the same in all forms of a
 *     bill
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
    long bornMillis) {}
