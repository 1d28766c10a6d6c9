// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Plots the p95 time to first token against the load, with a line per policy. Stateless. */
final class BenchPlot {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 600;

  private BenchPlot() {}

  static void write(ArrayNode rows, Path file) throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("blue-mahoe: p95 of the first token")
            .xAxisTitle("load, % of capacity")
            .yAxisTitle("milliseconds")
            .build();
    chart.getStyler().setYAxisLogarithmic(true);
    Map<String, List<double[]>> pointsByPolicy = new LinkedHashMap<>();
    for (JsonNode row : rows) {
      boolean plotted =
          row.path("group").asText().equals("choice")
              && row.path("workload").asText().equals("blue-mahoe");
      if (plotted) {
        double[] point = {row.path("load").asDouble() * 100, row.path("p95").asDouble()};
        pointsByPolicy
            .computeIfAbsent(row.path("policy").asText(), unused -> new ArrayList<>())
            .add(point);
      }
    }
    pointsByPolicy.forEach(
        (name, points) ->
            chart.addSeries(
                name,
                points.stream().mapToDouble(point -> point[0]).toArray(),
                points.stream().mapToDouble(point -> point[1]).toArray()));
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
