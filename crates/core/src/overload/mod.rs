//! Load shedding by urgency: which class of waiting requests runs next, and which request is
//! refused on arrival.
//!
//! A class is a rank of [`Urgency`](crate::queue::Urgency). [`UrgencyQueue`] serves the most urgent
//! class first, and accounts within a class in fair order. [`OverloadControl`] estimates on arrival
//! how long a request would wait, from the work ahead of it in classes as urgent or more and from
//! the capacity that is left by more urgent arrivals.

mod account_load;
mod admission;
mod arrival;
mod class_load;
mod class_turns;
mod lane;
mod lane_part;
mod measured_capacity;
mod overload_control;
mod queue_class;
mod queued_work;
mod service_load;
mod shed_record;
mod urgency_queue;
mod wait_estimate;

pub use {
    admission::Admission, arrival::Arrival, lane::Lane, lane_part::LanePart,
    overload_control::OverloadControl, queue_class::QueueClass, queued_work::QueuedWork,
    shed_record::ShedRecord, urgency_queue::UrgencyQueue, wait_estimate::WaitEstimate,
};
