package org.tanagerbank.declaration;

import java.math.BigDecimal;

/**
 * A numeric field of the declaration with its range. Immutable and thread-safe.
 *
 * @param path the name of the field below its service, with dots between levels
 * @param whole whether only whole numbers are allowed
 * @param unit the unit of the value
 * @param min the least value allowed
 * @param max the greatest value allowed
 * @param defaultValue the value when the field is missing
 */
record NumberField(
    String path, boolean whole, String unit, double min, double max, double defaultValue) {
  String name() {
    return path.substring(path.lastIndexOf('.') + 1);
  }

  String type() {
    return whole ? "whole number" : "number";
  }

  String range() {
    return text(min) + " to " + text(max);
  }

  String defaultText() {
    return text(defaultValue);
  }

  /** Returns a number without exponent and without a needless fraction. */
  static String text(double value) {
    return new BigDecimal(Double.toString(value)).stripTrailingZeros().toPlainString();
  }
}
