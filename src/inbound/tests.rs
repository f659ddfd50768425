mod body;
mod limits;
