// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

/**
 * A part of a prompt that engines may have cached. Immutable.
 *
 * @param hash the hash of the part
 * @param tokens its length in tokens
 */
public record PromptPart(long hash, int tokens) {}
