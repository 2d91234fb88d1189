package mintstair.registry.view;

import java.util.List;

/** What follows from one event or the passing of time: orders for the wire, then what is to be told, each in this order. */
public record Step(List<Order> orders, List<ViewUpdate> told) {}
