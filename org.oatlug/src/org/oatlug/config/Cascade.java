// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import java.util.List;

/**
 * An order of models from the cheapest to the strongest. Immutable.
 *
 * @param stages names of models, cheapest first
 * @param safeStage the stage that is used without knowledge, from 0
 * @param qualityTarget the share of answers that have to meet the rating, from 0 to 1
 */
public record Cascade(List<String> stages, int safeStage, double qualityTarget) {}
