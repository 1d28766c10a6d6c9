// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

/**
 * Part of a prompt that engines may have in their prefix cache. Immutable.
 *
 * @param hash the hash of the content of the part
 * @param tokens its length in tokens
 */
public record PromptPart(long hash, int tokens) {}
