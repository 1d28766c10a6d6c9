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

/** Plots the time to the first token over the load, a line a policy. Stateless. */
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
    Map<String, List<double[]>> lines = new LinkedHashMap<>();
    for (JsonNode row : rows) {
      boolean wanted =
          row.path("group").asText().equals("choice")
              && row.path("workload").asText().equals("blue-mahoe");
      if (wanted) {
        double[] point = {row.path("load").asDouble() * 100, row.path("p95").asDouble()};
        lines.computeIfAbsent(row.path("policy").asText(), unused -> new ArrayList<>()).add(point);
      }
    }
    lines.forEach(
        (name, points) ->
            chart.addSeries(
                name,
                points.stream().mapToDouble(point -> point[0]).toArray(),
                points.stream().mapToDouble(point -> point[1]).toArray()));
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
