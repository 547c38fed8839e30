package org.tanagerbank.declaration;

import java.math.BigDecimal;

/**
 * A numeric field of a declaration with its range and default.
 *
 * <p>Immutable and thread-safe.
 *
 * @param path the name of the field relative to its service, with dots between levels
 * @param isWhole whether only whole numbers are allowed
 * @param unit the unit of the value; empty if it has none
 * @param min the least value allowed
 * @param max the greatest value allowed
 * @param defaultValue the value of a field that is missing
 */
record NumberField(
    String path, boolean isWhole, String unit, double min, double max, double defaultValue) {
  /** Returns the last part of the path. */
  String name() {
    return path.substring(path.lastIndexOf('.') + 1);
  }

  String type() {
    return isWhole ? "whole number" : "number";
  }

  String range() {
    return format(min) + " to " + format(max);
  }

  String defaultText() {
    return format(defaultValue);
  }

  /** Returns a number as text without exponent and without trailing zeros of the fraction. */
  static String format(double value) {
    return new BigDecimal(Double.toString(value)).stripTrailingZeros().toPlainString();
  }
}
