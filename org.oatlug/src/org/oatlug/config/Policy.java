// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

/**
 * A program that decides which model versions a workspace may use. Immutable.
 *
 * @param program a CEL expression of type bool over workspace, model, version, task and priority
 */
public record Policy(String program) {}
