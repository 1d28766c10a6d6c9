// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import java.util.List;

/**
 * A list of models, ordered from the cheapest to the most capable. Immutable.
 *
 * @param stages the names of the models, cheapest first
 * @param safeStage the index, from 0, of the stage that is used if ratings qualify no other
 * @param qualityTarget the required share of responses with a sufficient rating, between 0 and 1
 */
public record Cascade(List<String> stages, int safeStage, double qualityTarget) {}
