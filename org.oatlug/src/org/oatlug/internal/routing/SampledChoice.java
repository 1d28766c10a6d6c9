// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses among few candidates drawn at random, so that instances that know the same reports do not
 * all choose the same upstream. Stateless, thread-safe.
 */
public final class SampledChoice {
  /**
   * Candidates drawn from the own zone. With two, an upstream that appears best to all instances
   * gets at most twice its share of the requests.
   */
  private static final int OWN_ZONE_DRAWS = 2;

  /** Candidates drawn from other zones: with two, all servers of three zones are compared. */
  private static final int OTHER_ZONE_DRAWS = 2;

  /** Candidates drawn among those with most of the prompt cached, usually one or two in all. */
  private static final int CACHED_DRAWS = 2;

  /**
   * The factor by which the second lowest cost may exceed the lowest and count as about equal:
   * reports of pending prompts are up to 1 s old, so costs are hardly more exact. In {@code
   * PaceSimulation} at 6 instances the 95th percentile of the time to first token is 457 ms, mean
   * of six seeds, and 477 ms with a factor of 1.25.
   */
  private static final double TIE_FACTOR = 2;

  private SampledChoice() {}

  /**
   * A candidate to draw.
   *
   * @param value the upstream
   * @param weight its relative probability to be drawn
   * @param otherZone whether it is in another availability zone
   * @param cached whether no other has more of the prompt in its prefix cache
   * @param avoided whether it is used only if there is no other
   */
  public record Candidate<T>(
      T value, double weight, boolean otherZone, boolean cached, boolean avoided) {}

  /**
   * A candidate that was drawn.
   *
   * @param value the upstream
   * @param costMillis its cost
   * @param slowdown its momentary slowdown, 1 for none
   * @param otherZone whether it is in another availability zone
   */
  public record Option<T>(T value, double costMillis, double slowdown, boolean otherZone) {}

  /**
   * A choice.
   *
   * @param value the chosen upstream
   * @param tieBroken whether the momentary slowdown decided
   */
  public record Choice<T>(T value, boolean tieBroken) {}

  /**
   * Draws few candidates without replacement, by weight. Some of those that have most of the prompt
   * cached are always among them.
   */
  public static <T> List<T> draw(List<Candidate<T>> candidates, RandomGenerator random) {
    List<Candidate<T>> usable = filter(candidates, candidate -> !candidate.avoided());
    List<Candidate<T>> eligible = usable.isEmpty() ? candidates : usable;
    List<Candidate<T>> uncached = filter(eligible, candidate -> !candidate.cached());
    List<T> drawn = new ArrayList<>();
    drawInto(filter(eligible, Candidate::cached), CACHED_DRAWS, random, drawn);
    drawInto(filter(uncached, candidate -> !candidate.otherZone()), OWN_ZONE_DRAWS, random, drawn);
    drawInto(filter(uncached, Candidate::otherZone), OTHER_ZONE_DRAWS, random, drawn);
    return drawn;
  }

  /**
   * Returns the option of the lowest cost, empty if there are none; the momentary slowdown decides
   * between the two best if both or neither are in the own zone and their costs are about equal. A
   * much lower cost, as that of a cached prompt, is not outweighed.
   */
  public static <T> Optional<Choice<T>> best(List<Option<T>> options) {
    List<Option<T>> sorted = new ArrayList<>(options);
    sorted.sort(Comparator.comparingDouble(Option::costMillis));
    if (sorted.size() < 2) {
      return sorted.stream().findFirst().map(only -> new Choice<>(only.value(), false));
    }
    Option<T> best = sorted.get(0);
    Option<T> second = sorted.get(1);
    boolean tie =
        second.costMillis() <= best.costMillis() * TIE_FACTOR
            && second.otherZone() == best.otherZone();
    boolean prefersSecond =
        tie && second.costMillis() * second.slowdown() < best.costMillis() * best.slowdown();
    return Optional.of(new Choice<>((prefersSecond ? second : best).value(), prefersSecond));
  }

  private static <T> List<Candidate<T>> filter(
      List<Candidate<T>> candidates, Predicate<Candidate<T>> test) {
    return candidates.stream().filter(test).toList();
  }

  private static <T> void drawInto(
      List<Candidate<T>> from, int maximum, RandomGenerator random, List<T> drawn) {
    List<Candidate<T>> rest = new ArrayList<>(from);
    for (int draw = 0; draw < maximum && !rest.isEmpty(); draw++) {
      drawn.add(rest.remove(indexByWeight(rest, random)).value());
    }
  }

  private static <T> int indexByWeight(List<Candidate<T>> candidates, RandomGenerator random) {
    double sum = candidates.stream().mapToDouble(Candidate::weight).sum();
    double remaining = random.nextDouble() * sum;
    for (int index = 0; index < candidates.size() - 1; index++) {
      remaining -= candidates.get(index).weight();
      if (remaining < 0) {
        return index;
      }
    }
    return candidates.size() - 1;
  }
}
